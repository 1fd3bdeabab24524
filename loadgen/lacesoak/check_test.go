package lacesoak

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lacewingcove/lib/laceunit"
	"lacewingcove/loadgen/laceprocess"
	"lacewingcove/platform/lacestage"
)

// at returns the time at an offset in the test records.
func at(seconds float64) time.Time {
	return time.Unix(1_000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// validRecord returns a run without violations: three responses of instance 0 from one server, a planned stop and a
// freeze.
func validRecord() *record {
	r := &record{
		paid:        map[laceunit.AccountID]laceunit.Tokens{"a": 30},
		faultsEnded: at(20),
		instances:   1,
		final:       map[int]laceprocess.Usage{0: {}},
		injections: []injection{
			{event: event{eventType: eventType{kind: eventStop}}, started: at(10), ended: at(12), ready: at(12.5)},
			{event: event{eventType: eventType{kind: eventFreeze}}, started: at(15), ended: at(16)},
		},
	}
	for i, sent := range []float64{1, 5, 20.5} {
		r.addResponse(fmt.Sprintf("t-%d", i), sent, sent+0.5)
	}
	return r
}

// addResponse adds an attempt with a complete response.
func (r *record) addResponse(id string, sent, ended float64) {
	r.responses = append(r.responses, response{
		Response: lacestage.Response{
			Attempt:       laceunit.AttemptID(id),
			EchoedAttempt: laceunit.AttemptID(id),
			Instance:      instanceID(0),
			Status:        200,
			Complete:      true,
			Body:          []byte("right"),
			Sent:          at(sent),
			Ended:         at(ended),
		},
		account:         "a",
		nonIdempotent:   true,
		timeout:         2 * time.Second,
		want:            []byte("right"),
		deliveredTokens: 10,
	})
	r.serverRecords = append(r.serverRecords, lacestage.RequestRecord{
		Attempt: laceunit.AttemptID(id),
		Account: "a",
		Server:  "s",
		Arrived: at(sent),
		Ended:   at(ended),
		Outcome: lacestage.Completed,
	})
}

// truncate makes the second attempt one that a planned stop truncated.
func truncate(r *record) {
	a := &r.responses[1]
	a.Sent, a.Ended, a.Complete, a.Body = at(10.2), at(10.8), false, []byte("rig")
}

// truncateAfterRetry makes it one that was truncated after a retry, because an earlier server had failed to complete
// it.
func truncateAfterRetry(r *record) {
	truncate(r)
	r.responses[1].nonIdempotent = false
	r.serverRecords[1].Outcome = lacestage.Truncated
	r.serverRecords = append(r.serverRecords, r.serverRecords[1])
	r.serverRecords[3].Outcome = lacestage.Disconnected
}

// closeInTransit makes it one that was in transit when the instance closed the connection.
func closeInTransit(r *record) {
	a := &r.responses[1]
	a.Sent, a.Ended, a.Status, a.Complete, a.Body = at(11.5), at(11.55), 0, false, nil
}

// removeSecondRequest removes the server's record of the second attempt.
func removeSecondRequest(r *record) { r.serverRecords = slices.Delete(r.serverRecords, 1, 2) }

// addPause adds a response that announces a pause, and three requests during the pause.
func addPause(r *record, from float64) {
	for i, sent := range []float64{from, from + 0.6, from + 0.7, from + 0.8} {
		r.addResponse(fmt.Sprintf("p-%d", i), sent, sent)
		r.responses[3+i].Status, r.responses[3+i].deliveredTokens = 503, 0
		r.serverRecords[3+i].Outcome, r.serverRecords[3+i].PausedUntil = lacestage.Paused, at(from+2)
	}
}

// addRateLimit adds a server that announces a limit of 1 request per second, and for 8 s perSecond requests per second
// to it from an instance that knows the limit.
func addRateLimit(r *record, start, perSecond int) {
	for i := range 8 * perSecond {
		n := len(r.responses)
		r.addResponse(fmt.Sprintf("l-%d", i),
			float64(start)+float64(i)/float64(perSecond), float64(start)+float64(i)/float64(perSecond))
		r.responses[n].deliveredTokens = 0
		r.serverRecords[n].RateLimit, r.serverRecords[n].RateLimitSince = 1, at(float64(start))
	}
}

// addSlowLink puts the instance behind a slow link and adds configuration changes that the store acknowledged at 13 s:
// an added route, a revoked key and a removed route. It returns the third attempt, which is sent 7.5 s later.
func addSlowLink(r *record) *response {
	r.slowLink = &event{}
	r.changes = []change{
		{addedRoutes: []string{"new"}, acknowledged: at(13)},
		{revokedKey: "old", acknowledged: at(13)},
		{removedRoute: "gone", acknowledged: at(13)},
	}
	return &r.responses[2]
}

// rejectAddedRoute makes the third attempt one that was rejected because the instance did not know the added route, and
// moves the end of the faults before the second attempt, which then is the first one served after it.
func rejectAddedRoute(r *record) {
	a := addSlowLink(r)
	a.route, a.Status, a.deliveredTokens = "new", 404, 0
	r.serverRecords = r.serverRecords[:2]
	r.faultsEnded = at(4)
}

// addStoreOutage adds a time in which the store is unresponsive, for some instances or for all if none are given.
func addStoreOutage(r *record, from, to float64, isolated ...int) {
	x := injection{
		event: event{
			eventType: eventType{kind: "store-silent", target: targetStore},
			isolated:  isolated,
		},
		started: at(from),
		ended:   at(to),
	}
	if len(isolated) > 0 {
		x.kind = eventPartialStoreOutage
	}
	r.injections = append(r.injections, x)
}

// checkCase is a modification of the valid run with the guarantees that it violates.
type checkCase struct {
	modify func(r *record)
	want   []string
}

// runCases compares the reported violations of each case with the expected ones.
func runCases(t *testing.T, cases map[string]checkCase) {
	t.Helper()
	for name, x := range cases {
		t.Run(name, func(t *testing.T) {
			r := validRecord()
			x.modify(r)
			var got []string
			for _, v := range check(r) {
				got = append(got, v.Guarantee)
			}
			if !slices.Equal(got, x.want) {
				t.Errorf("found %q, want %q", got, x.want)
			}
		})
	}
}

// Guards against checks of single responses that miss a violation, and against false positives in valid runs.
func TestInvalidResponsesAreDetected(t *testing.T) {
	runCases(t, map[string]checkCase{
		"sound": {modify: func(*record) {}},
		"overspent": {modify: func(r *record) {
			r.responses[0].deliveredTokens = 11
		}, want: []string{guaranteeBudget}},
		"ran twice": {modify: func(r *record) {
			r.serverRecords = append(r.serverRecords, r.serverRecords[0])
		}, want: []string{guaranteeAtMostOnce}},
		"may run twice": {modify: func(r *record) {
			r.responses[0].nonIdempotent = false
			r.serverRecords = append(r.serverRecords, r.serverRecords[0])
		}},
		"other account": {modify: func(r *record) {
			r.serverRecords[0].Account = "b"
		}, want: []string{guaranteeAccount}},
		"incomplete": {modify: func(r *record) {
			r.responses[0].Body = []byte("rig")
		}, want: []string{guaranteeIntegrity}},
		"truncated response": {modify: func(r *record) {
			r.responses[0].Complete = false
			r.responses[0].Body = []byte("rig")
		}},
		"foreign bytes": {modify: func(r *record) {
			r.responses[0].Complete = false
			r.responses[0].Body = []byte("wro")
		}, want: []string{guaranteeIntegrity}},
		"other attempt id": {modify: func(r *record) {
			r.responses[0].EchoedAttempt = "t-1"
		}, want: []string{guaranteeIntegrity}},
		"stray bytes": {modify: func(r *record) {
			r.responses[0].Unsolicited = true
		}, want: []string{guaranteeIntegrity}},
		"rejected and ran": {modify: func(r *record) {
			r.responses[0].Status = 503
		}, want: []string{guaranteeNotRun}},
		"refused": {modify: func(r *record) {
			r.responses[0].Status = 503
			r.serverRecords[0].Outcome = lacestage.QueueFull
		}},
		"failed and ran": {modify: func(r *record) { r.responses[0].Status = 502 }},
	})
}

// Guards against checks of planned stops, of drains, pauses and rate limits of servers and of resource usage that miss
// a violation, and against exemptions that cover more than their reason.
func TestStopDrainAndResourceViolationsAreDetected(t *testing.T) {
	unresponsive := injection{
		event:   event{eventType: eventType{server: lacestage.ServerFault{Unresponsive: true}}},
		server:  "s",
		started: at(5.2),
		ended:   at(5.3),
	}
	runCases(t, map[string]checkCase{
		"truncated by stop":   {modify: truncate, want: []string{guaranteePlannedStop}},
		"truncated, canceled": {modify: func(r *record) { truncate(r); r.responses[1].canceled = true }},
		"truncated by server": {modify: func(r *record) {
			truncate(r)
			r.serverRecords[1].Outcome = lacestage.Truncated
		}},
		"truncated, unresponsive server": {modify: func(r *record) {
			truncate(r)
			r.injections = append(r.injections, unresponsive)
		}},
		"truncated after retry": {modify: truncateAfterRetry, want: []string{guaranteePlannedStop}},
		"closed in transit":     {modify: func(r *record) { closeInTransit(r); removeSecondRequest(r) }},
		"truncated at timeout": {modify: func(r *record) {
			truncate(r)
			r.responses[1].timeout = 600 * time.Millisecond
		}},
		"slow stop": {modify: func(r *record) {
			r.injections[0].ended = at(14.1)
		}, want: []string{guaranteePlannedStop}},
		"closed too early": {modify: func(r *record) {
			closeInTransit(r)
			r.responses[1].Sent, r.responses[1].Ended = at(10.9), at(10.95)
			removeSecondRequest(r)
		}, want: []string{guaranteePlannedStop}},
		"closed in transit and ran": {modify: closeInTransit, want: []string{guaranteePlannedStop}},
		"closed after a wait": {modify: func(r *record) {
			closeInTransit(r)
			r.responses[1].Sent = at(11.2)
			removeSecondRequest(r)
		}, want: []string{guaranteePlannedStop}},
		"sent after drain period": {modify: func(r *record) {
			r.serverRecords[0].DrainAnnounced = true
		}, want: []string{guaranteeDrain}},
		"limit, kept": {modify: func(r *record) { addRateLimit(r, 1, 1) }},
		"limit, exceeded": {modify: func(r *record) {
			addRateLimit(r, 1, 4)
		}, want: []string{guaranteeRateLimit}},
		"limit, restarted": {modify: func(r *record) {
			addRateLimit(r, 1, 4)
			r.injections[0].started, r.injections[0].ended, r.injections[0].ready = at(1.2), at(1.3), at(8.9)
		}},
		"drain, resumed after freeze": {modify: func(r *record) {
			r.serverRecords[0].DrainAnnounced = true
			r.injections[1].started, r.injections[1].ended = at(3), at(4)
		}, want: []string{guaranteeDrain}},
		"drain, restarted": {modify: func(r *record) {
			r.serverRecords[0].DrainAnnounced = true
			r.injections[0].started, r.injections[0].ended = at(3), at(4)
		}},
		"drain, within the period": {modify: func(r *record) {
			r.serverRecords[0].DrainAnnounced = true
			r.responses[1].Sent = at(4.4)
			r.serverRecords[2].Server = "new"
		}},
		"new process":    {modify: func(r *record) { r.serverRecords[1].DrainAnnounced = true }},
		"paused":         {modify: func(r *record) { addPause(r, 1) }, want: []string{guaranteePause}},
		"paused, probes": {modify: func(r *record) { addPause(r, 1); r.serverRecords[5].Server = "new" }},
		"paused, frozen": {modify: func(r *record) { addPause(r, 14.5) }},
		"memory": {modify: func(r *record) {
			r.final[0] = laceprocess.Usage{ResidentBytes: memoryMargin + 1}
		}, want: []string{guaranteeResources}},
		"files": {modify: func(r *record) {
			r.final[0] = laceprocess.Usage{OpenFiles: filesMargin + 1}
		}, want: []string{guaranteeResources}},
		"goroutines": {modify: func(r *record) {
			r.final[0] = laceprocess.Usage{Goroutines: 2*filesMargin + 1}
		}, want: []string{guaranteeResources}},
		"gone": {modify: func(r *record) {
			delete(r.final, 0)
		}, want: []string{guaranteeResources}},
		"serves late": {modify: func(r *record) {
			r.faultsEnded = at(17.9)
		}, want: []string{guaranteeRecovery}},
	})
}

// Guards against checks for an outdated configuration that miss a violation, and against false positives after a store
// outage.
func TestOutdatedDecisionsAreDetected(t *testing.T) {
	propagation := []string{guaranteePropagation}
	runCases(t, map[string]checkCase{
		"slow link, valid": {modify: func(r *record) { addSlowLink(r) }},
		"route is missing": {modify: rejectAddedRoute, want: propagation},
		"early":            {modify: func(r *record) { rejectAddedRoute(r); r.responses[2].Sent = at(15.9) }},
		"removed again": {modify: func(r *record) {
			rejectAddedRoute(r)
			r.changes = append(r.changes, change{removedRoute: "new", acknowledged: at(19)})
		}},
		"removed later": {modify: func(r *record) {
			rejectAddedRoute(r)
			r.changes = append(r.changes, change{removedRoute: "new", acknowledged: at(22)})
		}, want: propagation},
		"other instance": {modify: func(r *record) { rejectAddedRoute(r); r.slowLink.index = 1 }},
		"revoked key":    {modify: func(r *record) { addSlowLink(r).apiKey = "old" }, want: propagation},
		"revoked, rejected": {modify: func(r *record) {
			a := addSlowLink(r)
			a.apiKey, a.Status, a.deliveredTokens = "old", 401, 0
			r.serverRecords = r.serverRecords[:2]
			r.faultsEnded = at(4)
		}},
		"removed route": {modify: func(r *record) { addSlowLink(r).route = "gone" }, want: propagation},
		"during store outage": {modify: func(r *record) {
			rejectAddedRoute(r)
			addStoreOutage(r, 14, 18)
		}},
		"after store outage": {modify: func(r *record) {
			rejectAddedRoute(r)
			addStoreOutage(r, 14, 17)
		}, want: propagation},
		"outage of other instances": {modify: func(r *record) {
			rejectAddedRoute(r)
			addStoreOutage(r, 14, 18, 1)
		}, want: propagation},
		"no Retry-After": {modify: func(r *record) {
			rejectAddedRoute(r)
			r.responses[2].Status = 503
		}, want: []string{guaranteeRetryAfter}},
	})
}

// Guards against a check that misses a stream of two software versions, and against false positives where several servers
// have written the last event before it was continued.
func TestStreamsOfTwoVersionsAreDetected(t *testing.T) {
	continueAt := func(r *record, version laceunit.SoftwareVersion) {
		for i := range r.serverRecords {
			r.serverRecords[i].Stream, r.serverRecords[i].Version = r.serverRecords[i].Attempt, "v1"
		}
		first, next := &r.serverRecords[0], &r.serverRecords[1]
		first.FirstEvent, first.LastEvent = 1, 2
		next.Stream, next.Version, next.LastEventID, next.FirstEvent, next.LastEvent = first.Stream, version, 2, 3, 4
	}
	runCases(t, map[string]checkCase{
		"same version":  {modify: func(r *record) { continueAt(r, "v1") }},
		"other version": {modify: func(r *record) { continueAt(r, "v2") }, want: []string{guaranteeVersion}},
		"other version, nothing written": {modify: func(r *record) {
			continueAt(r, "v2")
			r.serverRecords[1].FirstEvent, r.serverRecords[1].LastEvent = 0, 0
		}},
		"written by both versions": {modify: func(r *record) {
			continueAt(r, "v2")
			other := r.serverRecords[0]
			other.Attempt, other.Version = "other", "v2"
			r.serverRecords = append(r.serverRecords, other)
		}},
	})
}
