// Command standin runs stand-ins for the platform, the model engines and the plain services of one deployment in one
// process. It also chooses free ports for the daemons and writes their settings files.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/identity"
	"flamingorudder.example/internal/ini"
	"flamingorudder.example/internal/logging"
	"flamingorudder.example/internal/platform"
	"flamingorudder.example/internal/standin"
)

func main() {
	cmd := &cli.Command{
		Name:      "standin",
		Usage:     "run the stand-ins of a deployment in one process",
		ArgsUsage: "FLEET.ini",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Usage: "directory for the addresses and the daemons' settings", Value: "run"},
			&cli.DurationFlag{Name: "load", Usage: "time that the weight store takes to serve one load", Value: time.Second},
			&cli.IntFlag{Name: "loads", Usage: "number of loads that the weight store serves concurrently", Value: 64},
			&cli.DurationFlag{Name: "first", Usage: "time to the first token", Value: 40 * time.Millisecond},
			&cli.DurationFlag{Name: "token", Usage: "time between tokens", Value: 10 * time.Millisecond},
			&cli.FloatFlag{Name: "growth", Usage: "fraction by which each additional running request increases the time between tokens"},
			&cli.IntFlag{Name: "slots", Usage: "requests that an engine runs concurrently", Value: 16},
			&cli.IntFlag{Name: "queue", Usage: "requests that an engine queues before it reports that it is busy", Value: 16},
			&cli.IntFlag{Name: "cache", Usage: "prompt prefixes that an engine caches", Value: 512},
			&cli.DurationFlag{Name: "lag", Usage: "delay of load reports and cache events", Value: 100 * time.Millisecond},
			&cli.Uint64Flag{Name: "gap", Usage: "drop one of this many cache events; 0 drops none", Value: 50},
			&cli.DurationFlag{Name: "roster-lag", Usage: "delay of changes to the list of instances", Value: 500 * time.Millisecond},
			&cli.StringFlag{Name: "log", Usage: "minimum log level: trace, debug, info, warn, error", Value: "warn"},
		},
		Action:   run,
		Commands: []*cli.Command{storeCommand(), serverCommand()},
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// addresses is the content of addresses.json, from which the other programs of a run learn the addresses of all processes.
type addresses struct {
	Platform netip.AddrPort `json:"platform"`
	// Control injects faults into the stand-ins and returns their records.
	Control netip.AddrPort   `json:"control"`
	Daemons []daemonAddrs    `json:"daemons"`
	Engines []netip.AddrPort `json:"engines"`
	Plains  []netip.AddrPort `json:"plains"`
}

type daemonAddrs struct {
	Name     string         `json:"name"`
	Settings string         `json:"settings"`
	Caller   netip.AddrPort `json:"caller"`
	Operator netip.AddrPort `json:"operator"`
	Peer     netip.AddrPort `json:"peer"`
}

// fleet holds the running stand-ins of one deployment.
type fleet struct {
	ports    *ports
	g        *errgroup.Group
	ctx      context.Context
	cmd      *cli.Command
	platform *standin.Platform
	control  *standin.Fleet
	addrs    addresses
	fencing  bool
	// cleanups stop the engines.
	cleanups  []func()
	instances []platform.Instance
}

func run(ctx context.Context, c *cli.Command) error {
	logging.SetGlobal(logging.Limit(hclog.New(&hclog.LoggerOptions{Name: "standin", Level: hclog.LevelFromString(c.String("log"))}), logging.LimitPeriod))
	file := c.Args().First()
	content, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read fleet file: %w", err)
	}
	doc := ini.Parse(file, content)
	fleetSection := doc.Section("fleet")
	fleetSection.Require("name", "daemons")
	fleetSection.AllowKeys("region")
	daemons := fleetSection.Int("daemons", 7, 1, 512)
	g, ctx := errgroup.WithContext(ctx)
	p := standin.NewPlatform(c.Duration("roster-lag"))
	p.SetWeights(c.Duration("load"), max(c.Int("loads"), 1))
	f := &fleet{ports: newPorts(), g: g, ctx: ctx, cmd: c, platform: p, control: standin.NewFleet(p), fencing: fleetSection.Choice("fencing", "yes", "yes", "no") == "yes"}
	defer func() {
		for _, stop := range f.cleanups {
			stop()
		}
	}()
	if f.addrs.Platform, err = f.serve(f.platform, p.Control()); err != nil {
		return err
	}
	if f.addrs.Control, err = f.serve(f.control, nil); err != nil {
		return err
	}
	var dataCentres []string
	for _, s := range doc.Sections {
		if name, ok := strings.CutPrefix(s.Name, "data-centre "); ok {
			dataCentres = append(dataCentres, name)
			if err := f.startDataCentre(name, s); err != nil {
				return err
			}
		}
	}
	if err := doc.Err(); err != nil {
		return cli.Exit(err.Error(), 2)
	}
	if err := f.writeDaemonSettings(fleetSection.String("name", ""), daemons, dataCentres); err != nil {
		return err
	}
	// All instances are added in one call, so that no daemon reads a partial list.
	f.platform.Add(f.instances...)
	b, err := json.MarshalIndent(f.addrs, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(c.String("dir"), "addresses.json"), b, 0o644); err != nil {
		return fmt.Errorf("write addresses: %w", err)
	}
	fmt.Printf("stand-ins of %s are running: platform %s, control %s, %d engines, %d plain services\n", fleetSection.String("name", ""), f.addrs.Platform, f.addrs.Control, len(f.addrs.Engines), len(f.addrs.Plains))
	return g.Wait()
}

func (f *fleet) addInstance(i platform.Instance, s standin.Instance) {
	f.instances = append(f.instances, i)
	f.control.Add(i, s)
}

// serve serves h on a free port until the fleet stops. If c is not nil, the faults set in c apply to the listener.
func (f *fleet) serve(h http.Handler, c *standin.Control) (netip.AddrPort, error) {
	at, err := f.ports.choose()
	if err != nil {
		return netip.AddrPort{}, err
	}
	l, err := standin.ListenOn(at)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("listen: %w", err)
	}
	if c != nil {
		c.Attach(l)
	}
	s := khttp.NewServer(khttp.Listener(l), khttp.Timeout(0))
	s.HandlePrefix("/", h)
	f.g.Go(func() error { return s.Start(f.ctx) })
	f.g.Go(func() error {
		<-f.ctx.Done()
		return s.Close()
	})
	return netip.MustParseAddrPort(l.Addr().String()), nil
}

func (f *fleet) startDataCentre(name string, s *ini.Section) error {
	for domain, text := range s.List("domains") {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			s.AddFault("domains", fmt.Sprintf("%q is not a valid number of instances", text))
			continue
		}
		for i := range n {
			id := fmt.Sprintf("%s-%d-%02d", name, domain+1, i+1)
			e, stop := standin.NewEngine(standin.EngineSpec{
				ID: id, Slots: f.cmd.Int("slots"), Queue: f.cmd.Int("queue"), First: f.cmd.Duration("first"), Token: f.cmd.Duration("token"), Growth: f.cmd.Float("growth"),
				Platform: f.addrs.Platform, Fencing: f.fencing, Cache: f.cmd.Int("cache"), Gap: f.cmd.Uint64("gap"), Lag: f.cmd.Duration("lag"),
			})
			f.cleanups = append(f.cleanups, stop)
			a, err := f.serve(e, e.Control())
			if err != nil {
				return err
			}
			f.addrs.Engines = append(f.addrs.Engines, a)
			f.addInstance(platform.Instance{ID: id, Addr: a, Kind: platform.KindEngine, DataCentre: name, Domain: fmt.Sprintf("%s-%d", name, domain+1), Accelerators: 8, State: platform.Live}, e)
		}
	}
	service, count, _ := strings.Cut(s.String("plain", ""), " ")
	n, err := strconv.Atoi(count)
	if err != nil {
		s.AddFault("plain", "want SERVICE NUMBER")
		return nil
	}
	for i := range n {
		id := fmt.Sprintf("%s-%s-%d", service, name, i+1)
		s := standin.NewPlain(id, 5*time.Millisecond)
		a, err := f.serve(s, s.Control())
		if err != nil {
			return err
		}
		f.addrs.Plains = append(f.addrs.Plains, a)
		f.addInstance(platform.Instance{ID: id, Addr: a, Kind: platform.KindPlain, Service: service, DataCentre: name, State: platform.Live}, s)
	}
	return nil
}

// writeDaemonSettings chooses free ports for the daemons, issues their certificates and writes their settings files.
func (f *fleet) writeDaemonSettings(deployment string, n int, dataCentres []string) error {
	ca, err := identity.NewAuthority()
	if err != nil {
		return err
	}
	dir := f.cmd.String("dir")
	files := func(name string) identity.Files {
		return identity.Files{Authority: filepath.Join(dir, "authority.pem"), Certificate: filepath.Join(dir, name+".pem"), Key: filepath.Join(dir, name+".key")}
	}
	if err := ca.Issue(files("operator"), "operator"); err != nil {
		return err
	}
	var peers []string
	for i := range n {
		d := daemonAddrs{Name: fmt.Sprintf("%s-%d", deployment, i+1)}
		for _, a := range []*netip.AddrPort{&d.Caller, &d.Operator, &d.Peer} {
			if *a, err = f.ports.choose(); err != nil {
				return err
			}
		}
		d.Settings = filepath.Join(f.cmd.String("dir"), d.Name+".ini")
		f.addrs.Daemons = append(f.addrs.Daemons, d)
		peers = append(peers, d.Peer.String())
	}
	for i, d := range f.addrs.Daemons {
		dataCentre := dataCentres[i%len(dataCentres)]
		identityFiles := files(d.Name)
		if err := ca.Issue(identityFiles, d.Name, d.Peer.Addr()); err != nil {
			return err
		}
		text := fmt.Sprintf("[daemon]\nname = %s\ndata-centre = %s\nhold = 2s\n\n[listen]\ncaller = %s\noperator = %s\npeer = %s\n\n[platform]\naddress = %s\n\n[identity]\nauthority = %s\ncertificate = %s\nkey = %s\n\n[peers]\naddresses = %s\n\n[log]\nlevel = info\n",
			d.Name, dataCentre, d.Caller, d.Operator, d.Peer, f.addrs.Platform, identityFiles.Authority, identityFiles.Certificate, identityFiles.Key, strings.Join(peers, ", "))
		if err := os.WriteFile(d.Settings, []byte(text), 0o644); err != nil {
			return fmt.Errorf("write daemon settings: %w", err)
		}
		f.addInstance(platform.Instance{ID: d.Name, Addr: d.Caller, Kind: platform.KindDaemon, DataCentre: dataCentre, State: platform.Live}, nil)
	}
	return nil
}
