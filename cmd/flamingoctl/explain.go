package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

// explainWindow is how long before the end of a request the fleet's events are shown: a request lives for seconds.
const explainWindow = 10 * time.Second

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell from the logs of daemons what became of a request, and why",
		ArgsUsage: "ID [LOG ...]",
		Description: "Reads the logs of one or several daemons, from files or standard input. Lines may have any text before their\n" +
			"JSON. It prints what each daemon logged of the request, what happened to the groups and backend servers that it\n" +
			"met, and the likely cause.\n\nExample:\n  flamingoctl explain 9c41d07be2a35f68 front-*.log",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return cli.Exit("name the request, for example: flamingoctl explain 9c41d07be2a35f68 *.log", 2)
			}
			var lines []logLine
			if c.Args().Len() == 1 {
				lines = readLog(os.Stdin)
			}
			for _, file := range c.Args().Slice()[1:] {
				f, err := os.Open(file)
				if err != nil {
					return fmt.Errorf("read log: %w", err)
				}
				lines = append(lines, readLog(f)...)
				_ = f.Close() // only read
			}
			return explain(c.Root().Writer, c.Args().First(), lines)
		},
	}
}

// logLine is one line of a daemon's log.
type logLine struct {
	Time    time.Time
	Daemon  string
	Message string
	Fields  map[string]any
}

// readLog reads the lines that are a daemon's; others are passed over.
func readLog(r io.Reader) []logLine {
	var out []logLine
	s := bufio.NewScanner(r)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		i := strings.IndexByte(s.Text(), '{')
		if i < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte(s.Text()[i:]), &fields) != nil {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, fmt.Sprint(fields["@timestamp"]))
		if err != nil {
			continue
		}
		l := logLine{Time: at, Daemon: fmt.Sprint(fields["@module"]), Message: fmt.Sprint(fields["@message"]), Fields: fields}
		for _, key := range []string{"@timestamp", "@module", "@message", "@level"} {
			delete(fields, key)
		}
		out = append(out, l)
	}
	return out
}

// NotLoggedError reports a request of which no line tells.
type NotLoggedError struct{ ID string }

func (e *NotLoggedError) Error() string {
	return "no line of request " + e.ID + ": it was answered in order and not sampled, its daemon was lost with it, or the log of its daemon is missing; " +
		"look for a line start with a new boot at that time"
}

func explain(w io.Writer, id string, lines []logLine) error {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	var end time.Time
	var names []string
	outcome := ""
	var also []string
	for _, l := range lines {
		if l.Fields["id"] != id || l.Message != "request" && !strings.HasPrefix(l.Message, "request ") {
			continue
		}
		end, outcome = l.Time, fmt.Sprint(l.Fields["outcome"])
		if l.Fields["outcome"] == nil {
			outcome = l.Message
		}
		attempts, _ := l.Fields["attempts"].([]any)
		for _, a := range attempts {
			// An attempt begins with the backend server and, for a model, its group.
			head, _, _ := strings.Cut(fmt.Sprint(a), ":")
			names = append(names, strings.Fields(head)...)
			for _, n := range attemptNotes {
				if strings.Contains(fmt.Sprint(a), n.mark) && !slices.Contains(also, n.text) {
					also = append(also, n.text)
				}
			}
		}
	}
	if end.IsZero() {
		return &NotLoggedError{id}
	}
	for _, l := range lines {
		mine := l.Fields["id"] == id
		if !mine && (l.Time.Before(end.Add(-explainWindow)) || l.Time.After(end.Add(explainWindow)) || !concerns(l, names)) {
			continue
		}
		if !mine && l.Message == "request" {
			continue
		}
		if _, err := fmt.Fprintf(w, "%8.3f s  %-20s %s%s\n", l.Time.Sub(end).Seconds(), l.Daemon, l.Message, fieldText(l.Fields)); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintf(w, "likely cause: %s\n", cause(outcome)); err != nil {
		return err
	}
	for _, text := range also {
		if _, err := fmt.Fprintf(w, "also: %s\n", text); err != nil {
			return err
		}
	}
	return nil
}

// attemptNotes are what attempts tell of their backend servers.
var attemptNotes = []struct{ mark, text string }{
	{"server leaving", "a backend server that answered an attempt was leaving; it got no new requests from then on. See its lines backend server."},
	{"server asked for a pause", "a backend server turned an attempt away and asked for a pause; it got no requests of that daemon for so long. See the lines asked for a pause."},
	{"answer without end", "a backend server sent more than the request can have asked for; its connection was closed. Look at that backend server."},
}

// concerns tells whether a line is about one of the backend servers or groups, or about what holds for all requests.
func concerns(l logLine, names []string) bool {
	switch l.Message {
	case "store lost", "store answers", "lease taken", "leaving", "start":
		return true
	}
	group := fmt.Sprint(l.Fields["group"])
	for _, name := range names {
		plain, _, _ := strings.Cut(name, "/")
		if l.Fields["id"] == name || group == name || group == plain {
			return true
		}
	}
	return false
}

func fieldText(fields map[string]any) string {
	keys := make([]string, 0, len(fields))
	for k, v := range fields {
		if v != nil && v != "" {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, cmp.Compare)
	var b strings.Builder
	for _, k := range keys {
		v, err := json.Marshal(fields[k])
		if err != nil {
			continue // came from JSON
		}
		b.WriteString(" " + k + "=" + string(v))
	}
	return b.String()
}

// causes tells the engineer on call what each outcome means.
var causes = map[string]string{
	"served":            "none; the answer was passed on whole. Compare first and pause with the route's objective.",
	"rejected: queue":   "load: more work waited for the model than found a place in the time that the request may wait. It did not run. See the lines groups for how many groups were open.",
	"rejected: crowded": "load: those before it take all places that come free while it could still be in time. It did not run. See the lines groups and placement.",
	"rejected: all backend servers asked for a pause": "every backend server of the service had turned requests away and asked for a pause. It did not run.",
	"rejected: waited":             "load: no group could have begun in time while the request waited. It did not run.",
	"broken off":                   "the stream was cut after it began, and no other group took it in time or no attempt was left. See makes no progress and the orders for its groups.",
	"answer lost":                  "a backend server had the request and its answer did not come; it may have run, and was not repeated: no attempt or no budget was left, or it may run only once.",
	"timeout":                      "the route's timeout or the caller's time was over before an answer came.",
	"caller left":                  "the caller closed its connection first.",
	"failed by its backend server": "the backend server answered with this failure itself.",
	"unknown key":                  "the key is not in the configuration whose version the line gives.",
	"no route":                     "no route of the configuration whose version the line gives begins the path.",
	"no configuration":             "the daemon had started and knew no configuration yet; see store lost.",
}

// cause puts an outcome into a sentence; one that is not known tells itself.
func cause(outcome string) string { return cmp.Or(causes[outcome], outcome) }
