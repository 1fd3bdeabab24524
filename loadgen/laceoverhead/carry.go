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

// ticksPerSecond is the unit of processor times in /proc, which is fixed on Linux.
const ticksPerSecond = 100

// carry sends small chats from several workers and relates their number to the processor time of the instance.
func (m *Meter) carry(ctx context.Context) (Capacity, error) {
	chats := laceworkload.ClassID("")
	for _, id := range m.classes() {
		if m.setting.Workload.Classes[id].Kind == laceworkload.KindChat {
			chats = id
		}
	}
	if chats == "" {
		return Capacity{}, errors.New("overhead: the workload has no chats")
	}
	before, err := processor(m.setting.PID)
	if err != nil {
		return Capacity{}, err
	}
	began := time.Now()
	c := m.chats(ctx, chats)
	c.Seconds = time.Since(began).Seconds()
	after, err := processor(m.setting.PID)
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

func (m *Meter) chats(ctx context.Context, id laceworkload.ClassID) Capacity {
	var mu sync.Mutex
	var c Capacity
	source := m.source(id, m.setting.Workload.Limits.MaxRequests, "carry")
	until := time.Now().Add(m.setting.LoadDuration)
	next := func() (laceworkload.Request, bool) {
		mu.Lock()
		defer mu.Unlock()
		if !time.Now().Before(until) || ctx.Err() != nil {
			return laceworkload.Request{}, false
		}
		return source.Next()
	}
	var workers sync.WaitGroup
	defer workers.Wait()
	for range m.setting.Workers {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for q, ok := next(); ok; q, ok = next() {
				r := m.caller.DoOnce(ctx, m.setting.Instance, lacecaller.CallOf(&q))
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

// processor returns the processor time of a process; of process 0 it is always zero.
func processor(pid int) (time.Duration, error) {
	if pid == 0 {
		return 0, nil
	}
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, errors.Wrap(err, "overhead: processor time")
	}
	// The name in brackets may hold spaces; user and system time are the 12th and 13th field after it.
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, errors.New("overhead: processor time is not readable")
	}
	ticks := 0
	for _, f := range fields[11:13] {
		n, err := strconv.Atoi(f)
		if err != nil {
			return 0, errors.Wrap(err, "overhead: processor time")
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}
