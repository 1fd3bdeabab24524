package laceemulator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceplatform"
)

const (
	// maxRequestBytes bounds a request body: a value of 1 MB in base64 with room for the other fields.
	maxRequestBytes = 2 << 20
	// maxHangTime bounds how long a call without a response is kept open; clients time out well before.
	maxHangTime = 30 * time.Second
	// progressInterval is how often an idle watch reports its revision.
	progressInterval = 5 * time.Second
)

// errUnsupported means that the request uses a part of the protocol that the emulator does not implement.
var errUnsupported = errors.New("emulator: not served")

// platformServer serves a platform over the JSON gateway protocol of etcd v3.
type platformServer struct {
	platform *Platform
}

// Handler returns the HTTP API of the platform. Clients are identified by laceplatform.ClientHeader.
func (p *Platform) Handler() http.Handler {
	s := &platformServer{
		platform: p,
	}
	m := http.NewServeMux()
	m.Handle("POST "+laceplatform.PathRange, handleCall(s, laceplatform.KindRead, s.readRange))
	m.Handle("POST "+laceplatform.PathTxn, handleCall(s, laceplatform.KindWrite, s.commitTxn))
	m.Handle("POST "+laceplatform.PathDelete, handleCall(s, laceplatform.KindWrite, s.deleteRange))
	m.Handle("POST "+laceplatform.PathGrant, handleCall(s, laceplatform.KindLease, s.grant))
	m.Handle("POST "+laceplatform.PathRenew, s.pauseRenewals(handleCall(s, laceplatform.KindLease, s.renew)))
	m.Handle("POST "+laceplatform.PathRevoke, handleCall(s, laceplatform.KindLease, s.revoke))
	m.HandleFunc("POST "+laceplatform.PathWatch, s.watch)
	m.HandleFunc("GET /faults", s.getFaults)
	m.HandleFunc("POST /faults", s.setFaults)
	m.HandleFunc("GET /v1/counts", s.getCounts)
	return m
}

// handleCall decodes a request, executes it under the platform's faults and writes the response. It aborts the
// connection if the faults drop the request or the response.
func handleCall[Request any](
	s *platformServer, kind laceplatform.Kind, operation func(now time.Time, req Request) (any, error),
) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), maxHangTime)
		defer cancel()
		var req Request
		if !readJSON(w, r, &req) {
			return
		}
		var resp any
		err := s.platform.call(ctx, r.Header.Get(laceplatform.ClientHeader), kind, func(now time.Time) (err error) {
			resp, err = operation(now, req)
			return err
		})
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, resp)
	})
}

// pauseRenewals delays the lease renewals of a client while they are paused.
func (s *platformServer) pauseRenewals(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), maxHangTime)
		defer cancel()
		if s.platform.waitForRenewals(ctx, r.Header.Get(laceplatform.ClientHeader)) != nil {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// writeError responds with the status and code that etcd uses for an error.
func writeError(w http.ResponseWriter, err error) {
	status, f := http.StatusServiceUnavailable, laceplatform.ErrorResponse{
		Code:    laceplatform.CodeUnavailable,
		Message: laceplatform.MessageNoLeader,
	}
	switch {
	case errors.Is(err, errNoResponse):
		panic(http.ErrAbortHandler)
	case errors.Is(err, errRateLimited):
		status, f.Code, f.Message = http.StatusTooManyRequests, laceplatform.CodeResourceExhausted,
			laceplatform.MessageTooManyRequests
	case errors.Is(err, laceplatform.ErrLeaseNotFound):
		status, f.Code, f.Message = http.StatusNotFound, laceplatform.CodeNotFound, laceplatform.MessageLeaseNotFound
	case errors.Is(err, laceplatform.ErrTooLarge):
		status, f.Code, f.Message = http.StatusBadRequest, laceplatform.CodeInvalidArgument,
			laceplatform.MessageTooLarge
	case errors.Is(err, errUnsupported):
		status, f.Code, f.Message = http.StatusNotImplemented, laceplatform.CodeUnimplemented, err.Error()
	}
	writeJSON(w, status, f)
}

func (s *platformServer) header() laceplatform.Header {
	return laceplatform.Header{
		Revision: int64(s.platform.state.Revision()),
	}
}

func (s *platformServer) readRange(_ time.Time, req laceplatform.RangeRequest) (any, error) {
	header := s.header()
	resp := laceplatform.RangeResponse{
		Header: &header,
	}
	if len(req.End) == 0 {
		e, err := s.platform.state.Get(laceplatform.Key(req.Key))
		if err == nil {
			resp.Pairs = append(resp.Pairs, keyValue(e))
		}
		return resp, nil
	}
	prefix, err := rangePrefix(req.Key, req.End)
	if err != nil {
		return nil, err
	}
	for _, e := range s.platform.state.List(prefix) {
		resp.Pairs = append(resp.Pairs, keyValue(e))
	}
	return resp, nil
}

// commitTxn executes a compare-and-swap or compare-and-delete: one revision comparison with one write or one deletion.
func (s *platformServer) commitTxn(_ time.Time, req laceplatform.TxnRequest) (any, error) {
	if len(req.Compare) != 1 || len(req.Success) != 1 ||
		req.Compare[0].Target != "MOD" || req.Compare[0].Result != "EQUAL" {
		return nil, errors.WithMessage(errUnsupported, "transaction of this form")
	}
	compare, operation := req.Compare[0], req.Success[0]
	var err error
	switch {
	case operation.Put != nil && string(operation.Put.Key) == string(compare.Key):
		_, err = s.platform.state.Swap(laceplatform.Swap{
			Key:    laceplatform.Key(compare.Key),
			Value:  operation.Put.Value,
			Expect: laceplatform.Revision(compare.ModRevision),
			Lease:  laceplatform.LeaseID(operation.Put.Lease),
		})
	case operation.Delete != nil && string(operation.Delete.Key) == string(compare.Key) && len(operation.Delete.End) == 0:
		err = s.platform.state.Delete(laceplatform.Key(compare.Key), laceplatform.Revision(compare.ModRevision))
	default:
		return nil, errors.WithMessage(errUnsupported, "operation of this form")
	}
	if err != nil && !errors.Is(err, laceplatform.ErrConflict) {
		return nil, err
	}
	header := s.header()
	return laceplatform.TxnResponse{
		Header:    &header,
		Succeeded: err == nil,
	}, nil
}

// deleteRange deletes one key or all keys with a prefix unconditionally.
func (s *platformServer) deleteRange(_ time.Time, req laceplatform.DeleteRequest) (any, error) {
	deleted, err := []laceplatform.Entry(nil), error(nil)
	if len(req.End) == 0 {
		if e, getErr := s.platform.state.Get(laceplatform.Key(req.Key)); getErr == nil {
			deleted = append(deleted, e)
		}
	} else {
		var prefix laceplatform.Key
		if prefix, err = rangePrefix(req.Key, req.End); err != nil {
			return nil, err
		}
		deleted = s.platform.state.List(prefix)
	}
	for _, e := range deleted {
		if err = s.platform.state.Delete(e.Key, e.Revision); err != nil {
			return nil, err
		}
	}
	return laceplatform.DeleteResponse{
		Header:  s.header(),
		Deleted: int64(len(deleted)),
	}, nil
}

func (s *platformServer) grant(now time.Time, req laceplatform.LeaseMessage) (any, error) {
	id := s.platform.state.Grant(now, time.Duration(req.TTL)*time.Second)
	return s.leaseMessage(id, req.TTL), nil
}

// renew responds with a TTL of zero when the lease does not exist, as etcd does.
func (s *platformServer) renew(now time.Time, req laceplatform.LeaseMessage) (any, error) {
	ttl, err := s.platform.state.Renew(now, laceplatform.LeaseID(req.ID))
	if err != nil {
		ttl = 0
	}
	return laceplatform.LeaseResult{
		Result: s.leaseMessage(laceplatform.LeaseID(req.ID), int64(ttl/time.Second)),
	}, nil
}

func (s *platformServer) revoke(_ time.Time, req laceplatform.LeaseMessage) (any, error) {
	if err := s.platform.state.Revoke(laceplatform.LeaseID(req.ID)); err != nil {
		return nil, err
	}
	return s.leaseMessage(0, 0), nil
}

func (s *platformServer) leaseMessage(id laceplatform.LeaseID, ttl int64) laceplatform.LeaseMessage {
	h := s.header()
	return laceplatform.LeaseMessage{
		Header: &h,
		ID:     int64(id),
		TTL:    ttl,
	}
}

// rangePrefix returns the prefix that a key range covers. Ranges that are not a prefix are unsupported.
func rangePrefix(key, end []byte) (laceplatform.Key, error) {
	if string(key) == "\x00" && string(end) == "\x00" {
		return "", nil
	}
	if string(end) != string(laceplatform.RangeEnd(key)) {
		return "", errors.WithMessage(errUnsupported, "range that is no prefix")
	}
	return laceplatform.Key(key), nil
}

func keyValue(e laceplatform.Entry) laceplatform.KeyValue {
	return laceplatform.KeyValue{
		Key:         []byte(e.Key),
		Value:       e.Value,
		ModRevision: int64(e.Revision),
		Lease:       int64(e.Lease),
	}
}

// readJSON reads a request body to its end and decodes it. HTTP servers detect a client disconnect only once the body
// has been read.
func readJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	body, err := readBody(w, r)
	if err == nil {
		err = json.Unmarshal(body, target)
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, laceplatform.ErrorResponse{
			Code:    laceplatform.CodeInvalidArgument,
			Message: err.Error(),
		})
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // A write error means that the client has disconnected.
}
