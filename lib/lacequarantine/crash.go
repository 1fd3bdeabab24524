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
}

// serverCrash collects the reports of all instances on one crash.
type serverCrash struct {
	server    laceunit.ServerID
	startTime int64
	// at is the earliest time in the reports, receivedAt when the first of them arrived at this instance.
	at         time.Time
	receivedAt time.Time
	// prompts holds the suspect parts of requests by the instance that reported them.
	prompts map[laceunit.InstanceID][][]Part
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

// dropPrompts removes the prompts with all parts of a combination.
func (c *serverCrash) dropPrompts(combination []Part) {
	for reporter, prompts := range c.prompts {
		c.prompts[reporter] = slices.DeleteFunc(slices.Clone(prompts), func(p []Part) bool {
			return containsAll(p, combination)
		})
	}
}
