package lacerouter

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
)

// configurationInterval is how often the head is read; two reads a second stay far below the platform's rate.
const configurationInterval = 500 * time.Millisecond

// configuration follows the document in the platform.
type configuration struct {
	store   *laceconfig.Store
	fresh   time.Duration
	logger  logr.Logger
	changed func(*laceconfig.Document)

	mu        sync.Mutex
	document  *laceconfig.Document
	confirmed time.Time
}

// Current implements lacegateway.Configuration.
func (c *configuration) Current() *laceconfig.Document {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.document
}

// Fresh implements lacegateway.Configuration.
func (c *configuration) Fresh() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.document != nil
}

// Serve follows the head until the context ends.
func (c *configuration) Serve(ctx context.Context) error {
	ticker := time.NewTicker(configurationInterval)
	defer ticker.Stop()
	for {
		c.refresh(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (c *configuration) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	asked := time.Now()
	head, err := c.store.Head(ctx)
	if err != nil || head.Version == 0 {
		return
	}
	if head.Version == c.version() {
		c.confirm(asked)
		return
	}
	snapshot, err := c.store.Load(ctx, head)
	if err != nil {
		c.logger.Error(err, "configuration not loaded", "version", head.Version)
		return
	}
	c.install(&snapshot.Document, asked)
}

func (c *configuration) version() laceunit.Version {
	d := c.Current()
	if d == nil {
		return 0
	}
	return d.Version
}

func (c *configuration) confirm(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmed = at
}

// install puts a document in force; versions only go up.
func (c *configuration) install(d *laceconfig.Document, at time.Time) {
	c.mu.Lock()
	if c.document != nil && d.Version <= c.document.Version {
		c.mu.Unlock()
		return
	}
	c.document, c.confirmed = d, at
	c.mu.Unlock()
	c.logger.Info("configuration in force", "version", d.Version)
	c.changed(d)
}
