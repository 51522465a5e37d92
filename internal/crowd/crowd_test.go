package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"flamingorudder.example/internal/fakeplatform"
)

// The limits of the daemon under test, the crowds and the bounds were fixed before the daemon bounded what such clients take.
const (
	// memoryMB is the memory limit of the daemon, and the bound of its peak resident memory.
	memoryMB = 96
	// maxConns is the number of connections that follows from the memory: five for each MiB.
	maxConns = 5 * memoryMB
	// serviceConns is the number of connections that the backend server accepts, baseDescriptors the bound of the descriptors that
	// do not belong to connections of clients.
	serviceConns    = 50
	baseDescriptors = 64 + serviceConns
	maxBody         = 4 << 20
	// patience bounds the wait for an answer to an ordinary request, and for a client that the daemon does not read from. No check
	// depends on it as long as the daemon answers at all.
	patience = 60 * time.Second
)

const config = `{"version":1,"routes":[
 {"name":"unsafe","host":"a.example","prefix":"/unsafe/","kind":"unsafe","timeoutMs":3000,"service":"plain","maxAttempts":1}],
 "services":[{"name":"plain","maxConnections":50}],
 "limits":{"maxHeaderBytes":8192,"maxBodyBytes":4194304,"headerTimeoutMs":1000,"idleTimeoutMs":2000},
 "tenants":[{"name":"t1","apiKeys":["k1"]}]}`

const requestLine = "POST /unsafe/ HTTP/1.1\r\nHost: a.example\r\nX-Api-Key: k1\r\nX-Flamingorudder-Request-Id: crowd\r\n"

// program is the path of the daemon's program.
var program string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "crowd")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer func() { _ = os.RemoveAll(dir) }()
		program = filepath.Join(dir, "flamingod")
		if out, err := exec.Command("go", "build", "-o", program, "flamingorudder.example/cmd/flamingod").CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build the daemon: %v\n%s", err, out)
			return 1
		}
		return m.Run()
	}())
}

// daemon is a process of flamingod.
type daemon struct {
	t                 *testing.T
	cmd               *exec.Cmd
	caller, readiness netip.AddrPort
	// ended is closed when the process has ended.
	ended chan struct{}
	// descriptors is the largest number of open descriptors seen; it is valid after stopWatch.
	descriptors int
	stopWatch   func()
}

// freeAddr returns a loopback address whose port is free for TCP and UDP. Each process of the tests uses a loopback address of its own.
func freeAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	pid := os.Getpid()
	host := netip.AddrFrom4([4]byte{127, 201 + byte(pid>>16)%50, byte(pid >> 8), byte(pid)})
	for range 50 {
		l, err := net.Listen("tcp4", netip.AddrPortFrom(host, 0).String())
		if err != nil {
			t.Fatal(err)
		}
		addr := netip.MustParseAddrPort(l.Addr().String())
		u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return addr
		}
	}
	t.Fatal("no free port")
	return netip.AddrPort{}
}

// start starts a store, a backend server that answers every request, and a daemon that is ready.
func start(t *testing.T) *daemon {
	t.Helper()
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(config))
	storeServer := httptest.NewServer(store.Daemons())
	t.Cleanup(storeServer.Close)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/api/report" {
			_, _ = io.WriteString(w, `{"born":1}`)
			return
		}
		w.Header().Set("X-Flamingorudder-Request-Id", r.Header.Get("X-Flamingorudder-Request-Id"))
		w.Header().Set("X-Flamingorudder-Response-Signature", "sig")
		_, _ = io.WriteString(w, "fine")
	}))
	t.Cleanup(backend.Close)
	store.Put("servers", "i-1", []byte(fmt.Sprintf(`{"service":"plain","address":%q,"zone":"dc","slots":8,"state":"ready","born":1,"group":null}`, backend.Listener.Addr().String())))

	d := &daemon{t: t, caller: freeAddr(t), readiness: freeAddr(t), ended: make(chan struct{})}
	settings := filepath.Join(t.TempDir(), "settings.ini")
	text := fmt.Sprintf("[daemon]\nname = a\ndata-centre = dc\nmemory-mb = %d\n[listen]\ncaller = %v\nreadiness = %v\npeer = %v\n[store]\naddress = %v\n[bounds]\nbeat-ms = 1200\n[log]\nlevel = warn\n",
		memoryMB, d.caller, d.readiness, freeAddr(t), storeServer.Listener.Addr())
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	d.cmd = exec.Command(program, "entry", settings)
	d.cmd.Stdout, d.cmd.Stderr = &log, &log
	if err := d.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = d.cmd.Wait()
		close(d.ended)
	}()
	t.Cleanup(func() {
		_ = d.cmd.Process.Signal(syscall.SIGKILL)
		<-d.ended
		if t.Failed() {
			t.Logf("last lines of the daemon:\n%s", log.Bytes()[max(log.Len()-4000, 0):])
		}
	})
	if d.request("before the crowd"); t.Failed() {
		t.FailNow()
	}
	d.watch()
	return d
}

// running reports whether the process has not ended.
func (d *daemon) running() bool {
	select {
	case <-d.ended:
		return false
	default:
		return true
	}
}

// watch counts the open descriptors of the process every few milliseconds.
func (d *daemon) watch() {
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			if list, err := os.ReadDir("/proc/" + strconv.Itoa(d.cmd.Process.Pid) + "/fd"); err == nil {
				d.descriptors = max(d.descriptors, len(list))
			}
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond): //nolint:forbidigo // samples another process
			}
		}
	}()
	d.stopWatch = func() {
		close(stop)
		<-stopped
	}
}

// peakMB returns the peak resident memory of the process in MiB.
func (d *daemon) peakMB() int {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(d.cmd.Process.Pid) + "/status")
	if err != nil {
		d.t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if v, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(v), "kB")))
			if err != nil {
				d.t.Fatal(err)
			}
			return kb >> 10
		}
	}
	d.t.Fatal("the process has no peak resident memory")
	return 0
}

// request sends ordinary requests, each over a new connection, until one is answered.
func (d *daemon) request(when string) {
	d.t.Helper()
	last := ""
	for deadline := time.Now().Add(patience); time.Now().Before(deadline) && d.running(); {
		last = d.post("hello")
		if last == "200" {
			return
		}
		time.Sleep(50 * time.Millisecond) //nolint:forbidigo // waits for another process
	}
	d.t.Errorf("no ordinary request was answered %s; the last one: %s", when, last)
}

// post sends one ordinary request and returns its status or error.
func (d *daemon) post(body string) string {
	c, err := net.DialTimeout("tcp4", d.caller.String(), time.Second)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(patience))
	if _, err := fmt.Fprintf(c, requestLine+"Content-Length: %d\r\n\r\n%s", len(body), body); err != nil {
		return err.Error()
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err.Error()
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return err.Error()
	}
	return strconv.Itoa(resp.StatusCode)
}

// client sends a head and then pieces: piece so many times, then last. Its connection stays open.
type client struct {
	head, piece string
	times       int
	last        string
}

// run lets a crowd of so many clients send at once, and checks the daemon when each has sent everything or has been refused. Their
// connections stay open until then.
func (d *daemon) run(size int, of func(i int) client) {
	d.t.Helper()
	var sending, all sync.WaitGroup
	release := make(chan struct{})
	for i := range size {
		c := of(i)
		sending.Add(1)
		all.Go(func() {
			conn := d.send(c)
			sending.Done()
			<-release
			if conn != nil {
				_ = conn.Close()
			}
		})
	}
	sending.Wait()
	d.request("while the crowd stays")
	close(release)
	all.Wait()
	d.request("after the crowd")
	d.stopWatch()
	if !d.running() {
		d.t.Fatalf("the process has ended: %v", d.cmd.ProcessState)
	}
	peak, bound := d.peakMB(), baseDescriptors+min(size, maxConns)
	d.t.Logf("peak of resident memory %d MiB of %d, at most %d descriptors of %d", peak, memoryMB, d.descriptors, bound)
	if peak > memoryMB {
		d.t.Errorf("peak of resident memory: %d MiB, more than %d", peak, memoryMB)
	}
	if d.descriptors > bound {
		d.t.Errorf("%d open descriptors, more than %d", d.descriptors, bound)
	}
}

// send sends what a client has to send until the daemon refuses it.
func (d *daemon) send(c client) net.Conn {
	conn, err := net.DialTimeout("tcp4", d.caller.String(), patience)
	if err != nil {
		return nil
	}
	_ = conn.SetWriteDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(conn, c.head); err != nil {
		return conn
	}
	// Small pieces are sent many at a time.
	const least = 16 << 10
	together := max(least/max(len(c.piece), 1), 1)
	b := []byte(strings.Repeat(c.piece, together))
	for n := 0; n < c.times; n += together {
		if _, err := conn.Write(b[:min(together, c.times-n)*len(c.piece)]); err != nil {
			return conn
		}
	}
	_, _ = io.WriteString(conn, c.last) // the daemon may have refused the client
	return conn
}

// header returns a header line of so many bytes.
func header(size int) string { return "X-Filler: " + strings.Repeat("x", size-12) + "\r\n" }

func chunk(size int) string { return fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)) }

const chunked = requestLine + "Transfer-Encoding: chunked\r\n\r\n"

// TestHeadsWithoutEnd guards against memory that is used up by request heads that are over the limit and never end.
func TestHeadsWithoutEnd(t *testing.T) {
	start(t).run(300, func(int) client { return client{head: requestLine, piece: header(1 << 10), times: 900} })
}

// TestHeadsOverLimit guards against memory that is used up by whole request heads far over the limit, of requests whose body never comes.
func TestHeadsOverLimit(t *testing.T) {
	start(t).run(300, func(int) client {
		return client{head: requestLine, piece: header(1 << 10), times: 900, last: "Content-Length: 10\r\n\r\n"}
	})
}

// TestManyUnfinishedHeads guards against descriptors that are used up by connections on which a request head never ends.
func TestManyUnfinishedHeads(t *testing.T) {
	start(t).run(900, func(int) client { return client{head: requestLine} })
}

// TestEmptyLines guards against a process that hangs on, or collects, empty lines without end, at the start of a connection and after a
// request.
func TestEmptyLines(t *testing.T) {
	start(t).run(100, func(i int) client {
		head := ""
		if i%2 == 0 {
			head = requestLine + "Content-Length: 5\r\n\r\nhello"
		}
		return client{head: head, piece: "\r\n", times: 1 << 20}
	})
}

// TestLargeChunks guards against memory that is used up by chunked bodies in large chunks that stop just short of their end.
func TestLargeChunks(t *testing.T) {
	start(t).run(80, func(int) client {
		return client{head: chunked, piece: chunk(256 << 10), times: maxBody/(256<<10) - 1, last: chunk(200 << 10)}
	})
}

// TestSmallChunks guards against memory that is used up by chunked bodies in very small chunks that stop just short of their end.
func TestSmallChunks(t *testing.T) {
	start(t).run(80, func(int) client { return client{head: chunked, piece: chunk(16), times: (maxBody - 16) / 16} })
}

// TestBodiesJustShort guards against memory that is used up by announced bodies inside the limit that stop just short of their end.
func TestBodiesJustShort(t *testing.T) {
	start(t).run(80, func(int) client {
		return client{head: requestLine + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody), piece: strings.Repeat("x", 64<<10), times: maxBody/(64<<10) - 1, last: "x"}
	})
}

// TestAnnouncedOverLimit guards against memory that is used up by bodies that are announced to be far over the limit.
func TestAnnouncedOverLimit(t *testing.T) {
	start(t).run(80, func(int) client {
		return client{head: requestLine + "Content-Length: 1073741824\r\n\r\n", piece: strings.Repeat("x", 64<<10), times: 128}
	})
}

// TestSentOverLimit guards against memory that is used up by bodies that are far over the limit without being announced.
func TestSentOverLimit(t *testing.T) {
	start(t).run(80, func(int) client { return client{head: chunked, piece: chunk(64 << 10), times: 128} })
}
