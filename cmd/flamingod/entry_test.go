package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
)

const runMainVariable = "FLAMINGOD_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// TestHangupDuringStart guards against a daemon that ends when it is told to read its settings again before it has started.
func TestHangupDuringStart(t *testing.T) {
	cmd, pipe := startCheck(t)
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	writeSettings(t, pipe)
	if err := cmd.Wait(); err != nil {
		t.Errorf("the daemon ended: %v", err)
	}
}

// TestHangupAtEnd guards against a daemon that is ended by the signal to read its settings again in the moment in which it ends by
// itself.
func TestHangupAtEnd(t *testing.T) {
	for range 10 {
		cmd, pipe := startCheck(t)
		writeSettings(t, pipe)
		ended := make(chan error, 1)
		go func() { ended <- cmd.Wait() }()
		for err := error(nil); err == nil; {
			err = cmd.Process.Signal(syscall.SIGHUP) // fails once it has ended
		}
		if err := <-ended; err != nil {
			t.Errorf("the daemon ended: %v", err)
		}
	}
}

// startCheck starts a daemon that checks its settings, and returns a pipe that it reads them from once it has begun to.
func startCheck(t *testing.T) (*exec.Cmd, *os.File) {
	t.Helper()
	settings := filepath.Join(t.TempDir(), "a.ini")
	if err := syscall.Mkfifo(settings, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], "entry", "--check", settings)
	cmd.Env = append(os.Environ(), runMainVariable+"=1")
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	pipe, err := os.OpenFile(settings, os.O_WRONLY, 0) // returns once the daemon reads its settings
	if err != nil {
		t.Fatal(err)
	}
	return cmd, pipe
}

func writeSettings(t *testing.T, pipe *os.File) {
	t.Helper()
	_, err := pipe.WriteString("[daemon]\nname = a\ndata-centre = dc\n[listen]\ncaller = 127.0.0.1:1\nreadiness = 127.0.0.1:2\npeer = 127.0.0.1:3\n[store]\naddress = 127.0.0.1:4\n[bounds]\n[log]\n")
	if err != nil {
		t.Error(err)
	}
	if err := pipe.Close(); err != nil {
		t.Error(err)
	}
}
