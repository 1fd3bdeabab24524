package laceoverhead

import (
	"context"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacefault"
	"lacewingcove/loadgen/lacecaller"
	"lacewingcove/loadgen/laceworkload"
)

// ticksPerSecond is the unit of CPU times in /proc (USER_HZ), which is fixed on Linux.
const ticksPerSecond = 100

// measureCapacity sends small chats from concurrent workers and relates their number to the CPU time of the instance.
func (m *Meter) measureCapacity(ctx context.Context) (Capacity, error) {
	class := laceworkload.ClassID("")
	for _, id := range m.classOfEachKind() {
		if m.options.Workload.Classes[id].Kind == laceworkload.KindChat {
			class = id
		}
	}
	if class == "" {
		return Capacity{}, errors.New("overhead: the workload has no class of chats")
	}
	before, err := cpuTime(m.options.PID)
	if err != nil {
		return Capacity{}, err
	}
	started := time.Now()
	c := m.runChats(ctx, class)
	c.Seconds = time.Since(started).Seconds()
	after, err := cpuTime(m.options.PID)
	if err != nil {
		return Capacity{}, err
	}
	c.RequestsPerSecond = float64(c.Done) / c.Seconds
	c.CPUSeconds = (after - before).Seconds()
	if c.CPUSeconds > 0 {
		c.RequestsPerCoreSecond = float64(c.Done) / c.CPUSeconds
	}
	return c, nil
}

func (m *Meter) runChats(ctx context.Context, id laceworkload.ClassID) Capacity {
	var mu sync.Mutex
	var c Capacity
	generator := m.newGenerator(id, m.options.Workload.Limits.MaxRequests, "carry")
	deadline := time.Now().Add(m.options.LoadDuration)
	next := func() (laceworkload.Request, bool) {
		mu.Lock()
		defer mu.Unlock()
		if !time.Now().Before(deadline) || ctx.Err() != nil {
			return laceworkload.Request{}, false
		}
		return generator.Next()
	}
	var workers sync.WaitGroup
	defer workers.Wait()
	for range m.options.Workers {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for q, ok := next(); ok; q, ok = next() {
				r := m.caller.DoOnce(ctx, m.options.Instance, lacecaller.CallOf(&q))
				mu.Lock()
				if r.Outcome == lacefault.Done {
					c.Done++
				} else {
					c.Rejected++
					c.LastError = string(r.LastFailure.Code)
				}
				mu.Unlock()
			}
		}()
	}
	workers.Wait()
	return c
}

// cpuTime returns the CPU time of a process, and always zero for pid 0.
func cpuTime(pid int) (time.Duration, error) {
	if pid == 0 {
		return 0, nil
	}
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, errors.Wrap(err, "overhead: CPU time")
	}
	// The program name in parentheses may contain spaces; user and system time are the 12th and 13th field after it.
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, errors.New("overhead: CPU time: malformed /proc stat file")
	}
	ticks := 0
	for _, f := range fields[11:13] {
		n, err := strconv.Atoi(f)
		if err != nil {
			return 0, errors.Wrap(err, "overhead: CPU time")
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}
