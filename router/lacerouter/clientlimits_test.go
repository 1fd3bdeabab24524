package lacerouter

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"lacewingcove/lib/laceemulator"
)

// The crowd and the bounds of these tests were fixed on the code that had no limits. The memory is that of the smallest
// machine of the users.
const (
	limitedMemoryMB    = 144
	limitedDescriptors = 600
	headsCrowd         = 300
	bodiesCrowd        = 120
	connectionsCrowd   = 900
	limitedHeadBytes   = 60_000
	endlessBytes       = 8 << 20
	limitedBodyBytes   = 4 << 20
)

// clientRequest is the begin of a request to callers' listener.
const clientRequest = "POST /v1/services/orders/restock HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey + "\r\n"

// withstands opens a crowd at an address of a new router and checks that the process lives, keeps within its machine and
// answers an ordinary request, both while the connections are open and afterwards.
func withstands(t *testing.T, clients int, payload func(int) io.Reader, address func(r *router) string) {
	t.Helper()
	newTestCluster(t).withstands(t, clients, payload, address)
}

func (tc *testCluster) withstands(
	t *testing.T, clients int, payload func(int) io.Reader, address func(r *router) string,
) {
	t.Helper()
	r := tc.start("router-1", "-machine.memory", fmt.Sprint(limitedMemoryMB),
		"-machine.descriptors", fmt.Sprint(limitedDescriptors))
	calls := 0
	answers := func(when string) {
		t.Helper()
		tc.waitFor("an order is answered "+when, func() bool {
			select {
			case <-r.exited:
				t.Fatalf("the process has ended: %s", r.cmd.ProcessState)
			default:
			}
			calls++
			status, _ := r.placeOrder(fmt.Sprint("order-", calls))
			return status == http.StatusOK
		})
	}
	answers("before")
	c := laceemulator.OpenCrowd(address(r), clients, payload)
	c.AwaitSent()
	tc.awaitIdle(r)
	open, err := laceemulator.OpenDescriptors(r.cmd.Process.Pid)
	answers("beside the crowd")
	_ = c.Close() // Returns no error.
	answers("after the crowd")
	peak, peakErr := laceemulator.PeakMemory(r.cmd.Process.Pid)
	if err != nil || peakErr != nil {
		t.Fatal(err, peakErr)
	}
	t.Logf("peak memory %.1f MB, %d descriptors", float64(peak)/1e6, open)
	if peak > limitedMemoryMB*1e6 || open > limitedDescriptors {
		t.Errorf("peak memory %.1f MB of %d MB, %d descriptors of %d", float64(peak)/1e6, limitedMemoryMB, open,
			limitedDescriptors)
	}
}

// awaitIdle waits until a process has handled what was sent to it: it uses next to no processor time. It gives up after
// maxPolls, since a process under attack may stay busy.
func (tc *testCluster) awaitIdle(r *router) {
	const idlePolls, maxPolls = 10, 250
	polls, idle := 0, 0
	var last int64
	tc.waitFor("process idle", func() bool {
		ticks, err := laceemulator.CPUTicks(r.cmd.Process.Pid)
		if err != nil {
			tc.t.Fatal(err)
		}
		polls, idle = polls+1, idle+1
		if ticks > last+1 {
			idle = 0
		}
		last = ticks
		return idle >= idlePolls || polls >= maxPolls
	})
}

func callersOf(r *router) string { return r.address }

func operatorsOf(r *router) string { return r.admin }

// Guards against a process that runs out of memory by heads of legal size with very many short or odd lines, whether
// they are finished or not, and on each listener that is reachable from outside.
func TestManyHeaderLines(t *testing.T) {
	for _, kind := range laceemulator.AllHeaderLines() {
		for name, end := range map[string]string{"unfinished": "", "finished": "Content-Length: 9\r\n\r\nx"} {
			t.Run(string(kind)+", "+name, func(t *testing.T) {
				head := clientRequest + kind.Text(limitedHeadBytes) + end
				withstands(t, headsCrowd, func(int) io.Reader { return strings.NewReader(head) }, callersOf)
			})
		}
	}
	t.Run("operators", func(t *testing.T) {
		head := "GET /v1/x HTTP/1.1\r\nHost: x\r\n" + laceemulator.NoValue.Text(limitedHeadBytes)
		withstands(t, headsCrowd, func(int) io.Reader { return strings.NewReader(head) }, operatorsOf)
	})
}

// Guards against heads above the limit, heads without end and empty lines without end before a request.
func TestEndlessHeads(t *testing.T) {
	for name, payload := range map[string]func(int) io.Reader{
		"line": func(int) io.Reader {
			return io.MultiReader(strings.NewReader(clientRequest+"X: "), laceemulator.Repeat("x", endlessBytes))
		},
		"lines": func(int) io.Reader {
			return io.MultiReader(strings.NewReader(clientRequest),
				laceemulator.Repeat(laceemulator.NoValue.Text(limitedHeadBytes), endlessBytes))
		},
		"empty lines": func(int) io.Reader {
			return io.MultiReader(strings.NewReader(clientRequest+"Content-Length: 1\r\n\r\nx"),
				laceemulator.Repeat("\r\n", endlessBytes))
		},
	} {
		t.Run(name, func(t *testing.T) { withstands(t, headsCrowd, payload, callersOf) })
	}
}

// Guards against many large bodies of legal size at once, whole, in chunks and just short of their end.
func TestManyLargeBodies(t *testing.T) {
	length := fmt.Sprintf("Idempotency-Key: a\r\nContent-Length: %d\r\n\r\n", limitedBodyBytes)
	for name, payload := range map[string]func(int) io.Reader{
		"whole": func(int) io.Reader {
			return io.MultiReader(strings.NewReader(clientRequest+length), laceemulator.Repeat("x", limitedBodyBytes))
		},
		"short of the end": func(int) io.Reader {
			return io.MultiReader(strings.NewReader(clientRequest+length), laceemulator.Repeat("x", limitedBodyBytes-1))
		},
		"chunks": func(int) io.Reader {
			return io.MultiReader(strings.NewReader(clientRequest+"Transfer-Encoding: chunked\r\n\r\n"),
				laceemulator.Repeat("400\r\n"+strings.Repeat("x", 1<<10)+"\r\n", limitedBodyBytes))
		},
	} {
		t.Run(name, func(t *testing.T) { withstands(t, bodiesCrowd, payload, callersOf) })
	}
}

// Guards against more connections than the process may have descriptors.
func TestMoreConnectionsThanDescriptors(t *testing.T) {
	withstands(t, connectionsCrowd, func(client int) io.Reader {
		return strings.NewReader(clientRequest[:client%len(clientRequest)])
	}, callersOf)
}
