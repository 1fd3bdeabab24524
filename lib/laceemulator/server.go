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
	// maxRequest bounds a request body: a value of 1 MB in base64 with room for the rest.
	maxRequest = 2 << 20
	// maxHang bounds how long a call without an answer is kept open; clients give up well before.
	maxHang = 30 * time.Second
	// progressEvery is how often a quiet watch reports its revision.
	progressEvery = 5 * time.Second
)

// errNotServed means that the request uses a part of the protocol that the emulator does not have.
var errNotServed = errors.New("emulator: not served")

// platformServer serves a platform over the JSON form of etcd v3.
type platformServer struct {
	platform *Platform
}

// Handler returns the platform's HTTP form; clients are told apart by laceplatform.ClientHeader.
func (p *Platform) Handler() http.Handler {
	s := &platformServer{
		platform: p,
	}
	m := http.NewServeMux()
	m.Handle("POST "+laceplatform.PathRange, serve(s, laceplatform.KindRead, s.find))
	m.Handle("POST "+laceplatform.PathTxn, serve(s, laceplatform.KindWrite, s.transact))
	m.Handle("POST "+laceplatform.PathDelete, serve(s, laceplatform.KindWrite, s.remove))
	m.Handle("POST "+laceplatform.PathGrant, serve(s, laceplatform.KindLease, s.grant))
	m.Handle("POST "+laceplatform.PathRenew, s.pausable(serve(s, laceplatform.KindLease, s.renew)))
	m.Handle("POST "+laceplatform.PathRevoke, serve(s, laceplatform.KindLease, s.revoke))
	m.HandleFunc("POST "+laceplatform.PathWatch, s.watch)
	m.HandleFunc("GET /faults", s.getFaults)
	m.HandleFunc("POST /faults", s.setFaults)
	m.HandleFunc("GET /v1/counts", s.getCounts)
	return m
}

// serve decodes a request, carries it out under the platform's faults, and answers; without an answer it breaks
// the connection.
func serve[Q any](s *platformServer, kind laceplatform.Kind, run func(now time.Time, q Q) (any, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), maxHang)
		defer cancel()
		var q Q
		if !readJSON(w, r, &q) {
			return
		}
		var answer any
		err := s.platform.call(ctx, r.Header.Get(laceplatform.ClientHeader), kind, func(now time.Time) (err error) {
			answer, err = run(now, q)
			return err
		})
		if err != nil {
			fail(w, err)
			return
		}
		writeJSON(w, http.StatusOK, answer)
	})
}

// pausable holds a client's renewals while they are paused.
func (s *platformServer) pausable(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), maxHang)
		defer cancel()
		if s.platform.renewable(ctx, r.Header.Get(laceplatform.ClientHeader)) != nil {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// fail answers with the status and code that etcd uses for an error.
func fail(w http.ResponseWriter, err error) {
	status, f := http.StatusServiceUnavailable, laceplatform.ErrorResponse{
		Code:    laceplatform.CodeUnavailable,
		Message: laceplatform.MessageNoLeader,
	}
	switch {
	case errors.Is(err, errSilent):
		panic(http.ErrAbortHandler)
	case errors.Is(err, errBusy):
		status, f.Code, f.Message = http.StatusTooManyRequests, laceplatform.CodeResourceExhausted, laceplatform.MessageTooManyRequests
	case errors.Is(err, laceplatform.ErrLeaseGone):
		status, f.Code, f.Message = http.StatusNotFound, laceplatform.CodeNotFound, laceplatform.MessageLeaseNotFound
	case errors.Is(err, laceplatform.ErrTooLarge):
		status, f.Code, f.Message = http.StatusBadRequest, laceplatform.CodeInvalidArgument, laceplatform.MessageTooLarge
	case errors.Is(err, errNotServed):
		status, f.Code, f.Message = http.StatusNotImplemented, laceplatform.CodeUnimplemented, err.Error()
	}
	writeJSON(w, status, f)
}

func (s *platformServer) header() laceplatform.Header {
	return laceplatform.Header{
		Revision: int64(s.platform.state.Revision()),
	}
}

func (s *platformServer) find(_ time.Time, q laceplatform.RangeRequest) (any, error) {
	header := s.header()
	answer := laceplatform.RangeResponse{
		Header: &header,
	}
	if len(q.End) == 0 {
		e, err := s.platform.state.Get(laceplatform.Key(q.Key))
		if err == nil {
			answer.Pairs = append(answer.Pairs, pair(e))
		}
		return answer, nil
	}
	prefix, err := prefixOf(q.Key, q.End)
	if err != nil {
		return nil, err
	}
	for _, e := range s.platform.state.List(prefix) {
		answer.Pairs = append(answer.Pairs, pair(e))
	}
	return answer, nil
}

// transact serves one comparison of a revision with one write or one deletion.
func (s *platformServer) transact(_ time.Time, q laceplatform.TxnRequest) (any, error) {
	if len(q.Compare) != 1 || len(q.Success) != 1 || q.Compare[0].Target != "MOD" || q.Compare[0].Result != "EQUAL" {
		return nil, errors.WithMessage(errNotServed, "transaction of this form")
	}
	compare, operation := q.Compare[0], q.Success[0]
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
		return nil, errors.WithMessage(errNotServed, "operation of this form")
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

// remove serves an unconditional deletion of one key or of a prefix.
func (s *platformServer) remove(_ time.Time, q laceplatform.DeleteRequest) (any, error) {
	gone, err := []laceplatform.Entry(nil), error(nil)
	if len(q.End) == 0 {
		if e, missing := s.platform.state.Get(laceplatform.Key(q.Key)); missing == nil {
			gone = append(gone, e)
		}
	} else {
		var prefix laceplatform.Key
		if prefix, err = prefixOf(q.Key, q.End); err != nil {
			return nil, err
		}
		gone = s.platform.state.List(prefix)
	}
	for _, e := range gone {
		if err = s.platform.state.Delete(e.Key, e.Revision); err != nil {
			return nil, err
		}
	}
	return laceplatform.DeleteResponse{
		Header:  s.header(),
		Deleted: int64(len(gone)),
	}, nil
}

func (s *platformServer) grant(now time.Time, q laceplatform.LeaseMessage) (any, error) {
	id := s.platform.state.Grant(now, time.Duration(q.TTL)*time.Second)
	return s.lease(id, q.TTL), nil
}

// renew answers without a time to live when the lease is gone, as etcd does.
func (s *platformServer) renew(now time.Time, q laceplatform.LeaseMessage) (any, error) {
	ttl, err := s.platform.state.Renew(now, laceplatform.LeaseID(q.ID))
	if err != nil {
		ttl = 0
	}
	return laceplatform.LeaseResult{
		Result: s.lease(laceplatform.LeaseID(q.ID), int64(ttl/time.Second)),
	}, nil
}

func (s *platformServer) revoke(_ time.Time, q laceplatform.LeaseMessage) (any, error) {
	if err := s.platform.state.Revoke(laceplatform.LeaseID(q.ID)); err != nil {
		return nil, err
	}
	return s.lease(0, 0), nil
}

func (s *platformServer) lease(id laceplatform.LeaseID, ttl int64) laceplatform.LeaseMessage {
	h := s.header()
	return laceplatform.LeaseMessage{
		Header: &h,
		ID:     int64(id),
		TTL:    ttl,
	}
}

// prefixOf returns the prefix that a range stands for; other ranges are not served.
func prefixOf(key, end []byte) (laceplatform.Key, error) {
	if string(key) == "\x00" && string(end) == "\x00" {
		return "", nil
	}
	if string(end) != string(laceplatform.RangeEnd(key)) {
		return "", errors.WithMessage(errNotServed, "range that is no prefix")
	}
	return laceplatform.Key(key), nil
}

func pair(e laceplatform.Entry) laceplatform.KeyValue {
	return laceplatform.KeyValue{
		Key:         []byte(e.Key),
		Value:       e.Value,
		ModRevision: int64(e.Revision),
		Lease:       int64(e.Lease),
	}
}

// readJSON decodes a request body to its end, without which the server would not notice that the client left.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	body, err := readBody(w, r)
	if err == nil {
		err = json.Unmarshal(body, into)
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

func writeJSON(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer) // A client that left can't be told.
}
