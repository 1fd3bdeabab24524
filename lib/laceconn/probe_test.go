package laceconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"lacewingcove/lib/laceunit"
)

// endingProcessEnv makes the test program a server that ends with its first request.
const endingProcessEnv = "LACECONN_ENDING_PROCESS"

// TestEndingProcess is the server of TestProbeOfAnEndingProcess.
func TestEndingProcess(t *testing.T) {
	if os.Getenv(endingProcessEnv) == "" {
		return
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if _, err = io.WriteString(os.Stdout, l.Addr().String()+"\n"); err != nil {
		t.Fatal(err)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_, _ = c.Read(make([]byte, 1))
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf an answer")
	os.Exit(0)
}

// Guards against a process that ends being found alive by a probe right after it has closed a connection, so that its
// truncated answer looks complete.
func TestProbeOfAnEndingProcess(t *testing.T) {
	for range 30 {
		cmd := exec.Command(os.Args[0], "-test.run", "^TestEndingProcess$")
		// The race detector would delay the end of the process by a second.
		cmd.Env = append(os.Environ(), endingProcessEnv+"=1", "GORACE=atexit_sleep_ms=0")
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err = cmd.Start(); err != nil {
			t.Fatal(err)
		}
		address, err := bufio.NewReader(out).ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		pool := NewPool(laceunit.Address(strings.TrimSpace(address)), 0)
		conn, err := pool.Get(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if _, err = io.WriteString(conn.net, "x"); err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, conn.net)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		if got := pool.Probe(ctx); got != Refusing {
			t.Errorf("the probe returns %v", got)
		}
		cancel()
		conn.Discard()
		_ = cmd.Wait()
	}
}
