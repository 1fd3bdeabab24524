package lacesoak

import (
	"context"
	"time"

	"lacewingcove/platform/lacestage"
)

// restartingServer is a server that is started again some time after each crash.
type restartingServer struct {
	testbed *testbed
	// options returns the options of a start, given the number of earlier ones.
	options func(starts int) lacestage.ServerOptions
	// prepare sets the behaviour of a started server.
	prepare func(s *lacestage.Server)
	// crashed is called after each crash.
	crashed  func()
	downtime time.Duration
}

// run runs the server until the context ends, or until it can't be started.
func (r restartingServer) run(ctx context.Context) error {
	for starts := 0; ; starts++ {
		s, err := lacestage.NewServer(r.testbed.store, r.testbed.recorder, r.options(starts))
		if err != nil {
			return err
		}
		r.prepare(s)
		select {
		case <-s.Done():
			r.crashed()
			s.Crash(lacestage.CutReset)
		case <-ctx.Done():
			_ = s.Close() // The store removes the entry of a server that is closed during an outage later.
			return nil
		}
		if !sleep(ctx, r.downtime) {
			return nil
		}
	}
}
