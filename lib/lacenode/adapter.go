package lacenode

import (
	"net/http"
	"time"

	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/lacemirror"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/lacerelay"
	"lacewingcove/lib/laceroute"
	"lacewingcove/lib/laceunit"
)

// Adapter implements the protocols and formats of a platform.
type Adapter interface {
	// NewStore returns a client of the platform's store that records the results of its calls in the tracker and counts
	// the bytes of its connections.
	NewStore(settings Settings, tracker *laceplatform.ConnectivityTracker, traffic *laceconn.Traffic) (Store, error)
	// Codec returns the codec for requests of callers and responses of backend servers.
	Codec() lacerelay.Codec
	// Keys returns the keys that the operator and the backend servers write.
	Keys() Keys
	// DecodeDocument decodes the operator's configuration.
	DecodeDocument(value []byte) (laceroute.Document, error)
	// DecodeBackend decodes the entry of a backend server.
	DecodeBackend(e laceplatform.Entry) (lacerelay.Backend, error)
	// Sequence returns the position of an entry among all that its writer, the operator or a backend server, has written.
	// It returns false for other entries.
	Sequence(e laceplatform.Entry) (lacemirror.Sequence, bool)
	// ServerID returns the ID of the backend server that a key belongs to.
	ServerID(key laceplatform.Key) laceunit.ServerID
	// ReadyHandler returns the HTTP handler of the readiness check.
	ReadyHandler(ready func() bool) http.Handler
	// DirectoryHandler returns the HTTP handler that lists the instances for callers.
	DirectoryHandler(d Directory) http.Handler
}

// Store is the platform's store with support for batches, which update several budgets in one call.
type Store interface {
	laceplatform.Store
	laceplatform.Batcher
}

// Keys are the keys in the store that are not written by instances.
type Keys struct {
	// ConfigKey is the key of the configuration, ConfigPrefix the prefix to watch for it.
	ConfigKey    laceplatform.Key
	ConfigPrefix laceplatform.Key
	ServerPrefix laceplatform.Key
}

// Directory lists the instances that callers should use.
type Directory interface {
	// Addresses returns the addresses for a caller at a place, and how long the caller may cache them. It returns none
	// while this instance has no configuration.
	Addresses(place laceunit.Place) ([]laceunit.Address, time.Duration)
}
