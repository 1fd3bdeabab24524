package lacequarantine

import (
	"slices"
	"time"

	"lacewingcove/lib/laceunit"
)

// Crash is what one instance observed of the crash of a server.
type Crash struct {
	Server laceunit.ServerID
	// StartTime distinguishes the processes that were started under one server id.
	StartTime int64
	// At is when the instance observed the crash, by its wall clock.
	At time.Time
	// Prompts holds the suspect parts of each request that ran on the server and had not settled.
	Prompts [][]Part
	// Others are the suspect parts for which Prompts has no room, Answered the other parts of the requests, on which
	// servers have written answers.
	Others   hashSet
	Answered hashSet
}

// noReporter is the key of the prompts that are kept although the reports of their instances have no room.
const noReporter laceunit.InstanceID = ""

// serverCrash collects the reports of all instances on one crash.
type serverCrash struct {
	server    laceunit.ServerID
	startTime int64
	// at is the earliest time in the reports, receivedAt when the first of them arrived at this instance.
	at         time.Time
	receivedAt time.Time
	// prompts holds the suspect parts of requests by the instance that reported them.
	prompts map[laceunit.InstanceID][][]Part
	// others are the suspect parts without room, answered the parts against which the crash has been counted.
	others, answered hashSet
}

// empty reports whether there is no suspect part in the reports.
func (c *serverCrash) empty() bool { return c.size() == 0 && len(c.others) == 0 }

// hashed reports whether a part was among the suspect ones for which the reports had no room, according to its hash.
func (c *serverCrash) hashed(p Part) bool { return c.others.has(p.hash()) }

// mayHave reports whether a part is in a prompt or was among those for which the reports had no room.
func (c *serverCrash) mayHave(p Part) bool {
	_, ok := c.find([]Part{p})
	return ok || c.hashed(p)
}

// explainedBy reports whether a request on the server may have had all parts of a combination. If all of the parts are in
// prompts, it must be one prompt; of hashes it is not known which request they belong to.
func (c *serverCrash) explainedBy(combination []Part) bool {
	if _, ok := c.find(combination); ok {
		return true
	}
	return slices.ContainsFunc(combination, c.hashed) &&
		!slices.ContainsFunc(combination, func(p Part) bool { return !c.mayHave(p) })
}

// size returns the number of requests in all reports.
func (c *serverCrash) size() int {
	n := 0
	for _, prompts := range c.prompts {
		n += len(prompts)
	}
	return n
}

// parts returns the number of parts in all reports.
func (c *serverCrash) parts() int {
	n := 0
	for _, prompts := range c.prompts {
		n += countParts(prompts)
	}
	return n
}

// add adds a report in place of the earlier one of the same instance. It returns whether all of its prompts have room;
// the hashes of their parts remain otherwise.
func (c *serverCrash) add(reporter laceunit.InstanceID, report Crash) bool {
	c.prompts[reporter] = nil
	prompts := report.Prompts[:min(len(report.Prompts), maxPrompts, max(maxCrashPrompts-c.size(), 0))]
	prompts = fitPrompts(prompts, max(min(maxReportParts, maxCrashParts-c.parts()), 0))
	c.prompts[reporter] = prompts
	c.others = c.others.union(maxCrashHashes, report.Others)
	if countParts(prompts) == countParts(report.Prompts) {
		return true
	}
	c.others = c.others.with(maxCrashHashes, slices.Concat(report.Prompts...)...)
	return false
}

// keepAccused keeps the parts of prompts that were in the reports on other crashes, beside those that have room.
func (c *serverCrash) keepAccused(prompts [][]Part, accused map[Part]bool) {
	kept := c.prompts[noReporter]
	for _, p := range prompts {
		p = slices.DeleteFunc(slices.Clone(p), func(x Part) bool { return !accused[x] })
		known := slices.ContainsFunc(kept, func(k []Part) bool { return slices.Equal(k, p) })
		if len(p) > 0 && !known && len(kept) < maxPrompts {
			kept = append(slices.Clone(kept), p)
		}
	}
	c.prompts[noReporter] = fitPrompts(kept, maxReportParts)
}

// find returns a prompt with all parts of a combination.
func (c *serverCrash) find(combination []Part) ([]Part, bool) {
	for _, prompts := range c.prompts {
		for _, p := range prompts {
			if containsAll(p, combination) {
				return p, true
			}
		}
	}
	return nil, false
}

// shared returns what the prompts with a part have in common, without the parts that ignore returns true for.
func (c *serverCrash) shared(part Part, ignore func(Part) bool) ([]Part, bool) {
	var common []Part
	found := false
	for _, prompts := range c.prompts {
		for _, p := range prompts {
			if !slices.Contains(p, part) {
				continue
			}
			if !found {
				common, found = slices.DeleteFunc(slices.Clone(p), ignore), true
				continue
			}
			common = intersect(common, p)
		}
	}
	return common, found
}

// dropPrompts removes the prompts with all parts of a combination, and the hashes of these parts.
func (c *serverCrash) dropPrompts(combination []Part) {
	c.others = c.others.without(combination)
	for reporter, prompts := range c.prompts {
		c.prompts[reporter] = slices.DeleteFunc(slices.Clone(prompts), func(p []Part) bool {
			return containsAll(p, combination)
		})
	}
}
