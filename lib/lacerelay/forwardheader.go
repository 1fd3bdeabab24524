package lacerelay

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

// Headers between instances. Those of callers and servers are dropped, and no caller or server gets them.
const (
	forwardHeaderPrefix = "Lace-Forward-"
	// headerForwardVersion is in each forwarded request: the version of the sender's routing table.
	headerForwardVersion = forwardHeaderPrefix + "Version"
	// headerForwardAttempts is how many attempts were sent to servers so far, in a request by the sender and in a response
	// altogether.
	headerForwardAttempts = forwardHeaderPrefix + "Attempts"
	// headerForwardSoftware is the software version of the servers that wrote the stream, behind softwarePrefix.
	headerForwardSoftware = forwardHeaderPrefix + "Software"
	// headerForwardLeaving has a value for each server that has announced that it leaves: its start time and its id.
	headerForwardLeaving = forwardHeaderPrefix + "Leaving"
	// headerForwardServed is in each response to a forwarded request that the instance has handled.
	headerForwardServed = forwardHeaderPrefix + "Served"
)

// softwarePrefix makes the header of an unnamed software version differ from a missing one.
const softwarePrefix = "v:"

// errForwardHeader means that the headers of a forwarded request can't be parsed.
var errForwardHeader = errors.New("relay: invalid header of a forwarded request")

// forwardParams describe a forwarded request.
type forwardParams struct {
	version  laceunit.Version
	attempts int
	// software is the software version to which the stream is bound; nil if it is not.
	software *laceunit.SoftwareVersion
}

func (p forwardParams) encode(h http.Header) {
	h.Set(headerForwardVersion, strconv.FormatUint(uint64(p.version), 10))
	h.Set(headerForwardAttempts, strconv.Itoa(p.attempts))
	encodeSoftware(h, p.software)
}

func decodeForwardParams(h http.Header) (forwardParams, error) {
	version, err := strconv.ParseUint(h.Get(headerForwardVersion), 10, 64)
	if err != nil {
		return forwardParams{}, errors.Wrap(errForwardHeader, err.Error())
	}
	attempts, err := strconv.Atoi(h.Get(headerForwardAttempts))
	if err != nil || attempts < 0 {
		return forwardParams{}, errors.Wrap(errForwardHeader, headerForwardAttempts)
	}
	return forwardParams{
		version:  laceunit.Version(version),
		attempts: attempts,
		software: decodeSoftware(h),
	}, nil
}

func encodeSoftware(h http.Header, version *laceunit.SoftwareVersion) {
	if version != nil {
		h.Set(headerForwardSoftware, softwarePrefix+string(*version))
	}
}

func decodeSoftware(h http.Header) *laceunit.SoftwareVersion {
	text, ok := strings.CutPrefix(h.Get(headerForwardSoftware), softwarePrefix)
	if !ok {
		return nil
	}
	v := laceunit.SoftwareVersion(text)
	return &v
}

// leavingServer is a server process that has announced that it leaves.
type leavingServer struct {
	id        laceunit.ServerID
	startTime int64
}

func encodeLeaving(h http.Header, servers []leavingServer) {
	for _, s := range servers {
		h.Add(headerForwardLeaving, strconv.FormatInt(s.startTime, 10)+" "+string(s.id))
	}
}

// decodeLeaving returns the servers that a header names. Values that can't be parsed are left out: the instance that got
// the announcement observes it in any case.
func decodeLeaving(h http.Header) []leavingServer {
	var servers []leavingServer
	for _, v := range h.Values(headerForwardLeaving) {
		text, id, ok := strings.Cut(v, " ")
		startTime, err := strconv.ParseInt(text, 10, 64)
		if !ok || err != nil || id == "" {
			continue
		}
		servers = append(servers, leavingServer{
			id:        laceunit.ServerID(id),
			startTime: startTime,
		})
	}
	return servers
}

// removeForwardHeaders removes the headers between instances.
func removeForwardHeaders(h http.Header) {
	for name := range h {
		if len(name) >= len(forwardHeaderPrefix) && strings.EqualFold(name[:len(forwardHeaderPrefix)], forwardHeaderPrefix) {
			delete(h, name)
		}
	}
}
