package lacenode

import (
	"net/http"
	"time"

	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/lacerelay"
	"lacewingcove/lib/laceroute"
	"lacewingcove/lib/laceunit"
)

// Adapter speaks the platform's protocols.
type Adapter interface {
	// Store returns the client of the platform's store, which notes in the pulse which calls are answered and counts the bytes
	// of its connections.
	NewStore(s Settings, pulse *laceplatform.ConnectivityTracker, traffic *laceconn.Traffic) (Store, error)
	// Codec returns the translation of callers' requests and servers' answers.
	Codec() lacerelay.Codec
	// Keys tells where the operator and the servers write.
	Keys() Keys
	// Document reads the operator's configuration.
	DecodeDocument(value []byte) (laceroute.Document, error)
	// Backend reads the entry of a backend server.
	DecodeBackend(e laceplatform.Entry) (lacerelay.Backend, error)
	// Server returns the id of the backend server that a key belongs to.
	ServerID(key laceplatform.Key) laceunit.ServerID
	// Ready returns the handler of the readiness check.
	ReadyHandler(ready func() bool) http.Handler
	// Directory returns the handler that tells callers which instances to use.
	DirectoryHandler(d Directory) http.Handler
}

// Store is the platform's store, whose budgets are changed several at a time.
type Store interface {
	laceplatform.Store
	laceplatform.Batcher
}

// Keys are the places in the store that others write.
type Keys struct {
	// Config is the key of the configuration; Configs the prefix to follow for it.
	ConfigKey    laceplatform.Key
	ConfigPrefix laceplatform.Key
	ServerPrefix laceplatform.Key
}

// Directory tells callers which instances to use.
type Directory interface {
	// Addresses returns the addresses for a caller at a place and how long they may be kept; none means that this
	// instance can't tell.
	Addresses(place laceunit.Place) ([]laceunit.Address, time.Duration)
}
