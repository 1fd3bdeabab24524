package laceplatform

import "encoding/json"

// Paths of the JSON form of etcd v3.
const (
	PathRange  = "/v3/kv/range"
	PathTxn    = "/v3/kv/txn"
	PathDelete = "/v3/kv/deleterange"
	PathGrant  = "/v3/lease/grant"
	PathRenew  = "/v3/lease/keepalive"
	PathRevoke = "/v3/lease/revoke"
	PathWatch  = "/v3/watch"
)

// ClientHeader names the client to an emulated platform; a real one ignores it.
const ClientHeader = "Lace-Client"

// Header is the part that every response has.
type Header struct {
	Revision int64 `json:"revision,string,omitempty"`
}

// KeyValue is a key with its value; the bytes travel in base64.
type KeyValue struct {
	Key         []byte `json:"key,omitempty"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string,omitempty"`
	Lease       int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads one key, or those from Key up to End.
type RangeRequest struct {
	Key []byte `json:"key"`
	End []byte `json:"range_end,omitempty"`
}

// RangeResponse holds the keys that were found.
type RangeResponse struct {
	// Header is nil in an answer that is none.
	Header *Header    `json:"header"`
	Pairs  []KeyValue `json:"kvs,omitempty"`
}

// Compare is a condition on the revision of a key.
type Compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

// PutRequest writes one key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRequest removes one key, or those from Key up to End.
type DeleteRequest struct {
	Key []byte `json:"key"`
	End []byte `json:"range_end,omitempty"`
}

// DeleteResponse counts what was removed.
type DeleteResponse struct {
	Header  Header `json:"header"`
	Deleted int64  `json:"deleted,string,omitempty"`
}

// Operation is one step of a transaction; one of the fields is set.
type Operation struct {
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest carries out Success if all comparisons hold.
type TxnRequest struct {
	Compare []Compare   `json:"compare"`
	Success []Operation `json:"success"`
}

// TxnResponse says whether the comparisons held.
type TxnResponse struct {
	// Header is nil in an answer that is none.
	Header    *Header `json:"header"`
	Succeeded bool    `json:"succeeded,omitempty"`
}

// LeaseMessage is the request and the response of all lease calls; the time to live is in seconds.
type LeaseMessage struct {
	Header *Header `json:"header,omitempty"`
	ID     int64   `json:"ID,string,omitempty"`
	TTL    int64   `json:"TTL,string,omitempty"`
}

// LeaseResult is the first message of the renewal stream.
type LeaseResult struct {
	Result LeaseMessage `json:"result"`
}

// WatchCreate opens a watch.
type WatchCreate struct {
	Key            []byte `json:"key"`
	End            []byte `json:"range_end,omitempty"`
	StartRevision  int64  `json:"start_revision,string,omitempty"`
	ProgressNotify bool   `json:"progress_notify,omitempty"`
}

// WatchRequest is the one message that a watch sends.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// EventDelete is the type of a deletion; a write has none, or "PUT".
const EventDelete = "DELETE"

// WatchEvent is one change.
type WatchEvent struct {
	Type string   `json:"type,omitempty"`
	Pair KeyValue `json:"kv"`
}

// WatchResponse is one message of a watch; one without events reports progress.
type WatchResponse struct {
	Header          Header       `json:"header"`
	Created         bool         `json:"created,omitempty"`
	Canceled        bool         `json:"canceled,omitempty"`
	CompactRevision int64        `json:"compact_revision,string,omitempty"`
	Events          []WatchEvent `json:"events,omitempty"`
}

// WatchResult wraps a message of a watch; Error is set when the stream fails.
type WatchResult struct {
	Result WatchResponse   `json:"result"`
	Error  json.RawMessage `json:"error,omitempty"`
}

// Failure is the body of a response with an error status; the codes are those of gRPC.
type ErrorResponse struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// The codes of failures that the client tells apart.
const (
	CodeInvalidArgument   = 3
	CodeNotFound          = 5
	CodePermissionDenied  = 7
	CodeResourceExhausted = 8
	CodeOutOfRange        = 11
	CodeUnimplemented     = 12
	CodeUnavailable       = 14
	CodeUnauthenticated   = 16
)

// The messages of failures that the client tells apart.
const (
	MessageNoLeader        = "etcdserver: no leader"
	MessageTooManyRequests = "etcdserver: too many requests"
	MessageTooLarge        = "etcdserver: request is too large"
	MessageLeaseNotFound   = "etcdserver: requested lease not found"
	MessageCompacted       = "etcdserver: mvcc: required revision has been compacted"
	MessageNotStarted      = "etcdserver: server not started"
)

// RangeEnd returns the end of the range of all keys with a prefix; for the empty prefix, which has no last key,
// it is the single zero byte that means "no end".
func RangeEnd(prefix []byte) []byte {
	for i := len(prefix) - 1; i >= 0; i-- {
		if prefix[i] < 0xff {
			end := append([]byte(nil), prefix[:i+1]...)
			end[i]++
			return end
		}
	}
	return []byte{0}
}
