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
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	_, err = pipe.WriteString("[daemon]\nname = a\ndata-centre = dc\n[listen]\ncaller = 127.0.0.1:1\nreadiness = 127.0.0.1:2\npeer = 127.0.0.1:3\n[store]\naddress = 127.0.0.1:4\n[bounds]\n[log]\n")
	if err != nil {
		t.Error(err)
	}
	if err := pipe.Close(); err != nil {
		t.Error(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("the daemon ended: %v", err)
	}
}
