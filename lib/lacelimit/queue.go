package lacelimit

import (
	"time"

	"lacewingcove/lib/laceunit"
)

// agedEvery is how often the longest waiting item is taken instead of the most urgent one. It keeps low priorities
// from starving and costs the high ones at most one turn in eight.
const agedEvery = 8

// Item is a waiting request and what decides its turn.
type Item[T any] struct {
	Account  laceunit.AccountID
	Priority laceunit.Priority
	Deadline time.Time
	Value    T

	order uint64
}

// Queue is a bounded queue, ordered by priority and fair between client accounts of the same priority.
type Queue[T any] struct {
	bound  int
	length int
	turns  uint64
	pushes uint64
	// soonest is not after the earliest deadline.
	soonest time.Time
	// levels are sorted by falling priority and hold only levels with items.
	levels []*level[T]
}

type level[T any] struct {
	priority laceunit.Priority
	// lines are the accounts' items in the order of their turns; the line that was served goes to the end.
	lines []line[T]
}

type line[T any] struct {
	account laceunit.AccountID
	items   []Item[T]
}

// NewQueue returns a queue that holds at most bound items.
func NewQueue[T any](bound int) *Queue[T] {
	return &Queue[T]{bound: bound}
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return q.length }

// Top returns the highest priority in the queue, and false when the queue is empty.
func (q *Queue[T]) Top() (laceunit.Priority, bool) {
	if q.length == 0 {
		return 0, false
	}
	return q.levels[0].priority, true
}

// SetBound changes the bound; items beyond it stay.
func (q *Queue[T]) SetBound(bound int) { q.bound = bound }

// Push adds an item. When the queue is full, the item is refused or takes the place of another one, which is returned:
// the newest item of the lowest priority below its own, or of its own priority when an account waits there with at
// least two more items than the new item's account.
func (q *Queue[T]) Push(item Item[T]) (displaced *Item[T], ok bool) {
	if q.length >= q.bound {
		displaced = q.displace(item)
		if displaced == nil {
			return nil, false
		}
	}
	q.pushes++
	item.order = q.pushes
	l := q.level(item.Priority)
	l.add(item)
	q.length++
	if q.length == 1 || item.Deadline.Before(q.soonest) {
		q.soonest = item.Deadline
	}
	return displaced, true
}

// Pop removes the next item that accept agrees to. It offers the first item of each account, so an item that can't
// be served holds up only its own account.
func (q *Queue[T]) Pop(accept func(T) bool) (Item[T], bool) {
	if q.length == 0 {
		return Item[T]{}, false
	}
	if (q.turns+1)%agedEvery == 0 {
		if l, i := q.oldest(); accept(q.levels[l].lines[i].items[0].Value) {
			return q.serve(l, i), true
		}
	}
	for l, v := range q.levels {
		for i := range v.lines {
			if accept(v.lines[i].items[0].Value) {
				return q.serve(l, i), true
			}
		}
	}
	return Item[T]{}, false
}

// Expire removes and returns the items whose deadline has come.
func (q *Queue[T]) Expire(now time.Time) []Item[T] {
	if q.length == 0 || now.Before(q.soonest) {
		return nil
	}
	return q.Drop(func(i Item[T]) bool { return !now.Before(i.Deadline) })
}

// Next returns a time before which no deadline comes, and false when the queue is empty.
func (q *Queue[T]) Next() (time.Time, bool) { return q.soonest, q.length > 0 }

// Drop removes and returns the items that match.
func (q *Queue[T]) Drop(match func(Item[T]) bool) []Item[T] {
	var dropped []Item[T]
	q.soonest = time.Time{}
	for l := len(q.levels) - 1; l >= 0; l-- {
		v := q.levels[l]
		for i := len(v.lines) - 1; i >= 0; i-- {
			kept := v.lines[i].items[:0]
			for _, it := range v.lines[i].items {
				if match(it) {
					dropped = append(dropped, it)
					continue
				}
				kept = append(kept, it)
				if q.soonest.IsZero() || it.Deadline.Before(q.soonest) {
					q.soonest = it.Deadline
				}
			}
			v.lines[i].items = kept
			if len(kept) == 0 {
				q.cut(l, i)
			}
		}
	}
	q.length -= len(dropped)
	return dropped
}

func (q *Queue[T]) level(priority laceunit.Priority) *level[T] {
	at := 0
	for at < len(q.levels) && q.levels[at].priority > priority {
		at++
	}
	if at < len(q.levels) && q.levels[at].priority == priority {
		return q.levels[at]
	}
	q.levels = append(q.levels, nil)
	copy(q.levels[at+1:], q.levels[at:])
	q.levels[at] = &level[T]{priority: priority}
	return q.levels[at]
}

func (l *level[T]) add(item Item[T]) {
	for i := range l.lines {
		if l.lines[i].account == item.Account {
			l.lines[i].items = append(l.lines[i].items, item)
			return
		}
	}
	l.lines = append(l.lines, line[T]{
		account: item.Account,
		items:   []Item[T]{item},
	})
}

// oldest returns the level and line of the item that has waited longest.
func (q *Queue[T]) oldest() (at, in int) {
	best := ^uint64(0)
	for l, v := range q.levels {
		for i := range v.lines {
			if o := v.lines[i].items[0].order; o < best {
				best, at, in = o, l, i
			}
		}
	}
	return at, in
}

// serve removes the first item of a line and sends the line to the end of its level.
func (q *Queue[T]) serve(at, in int) Item[T] {
	q.turns++
	q.length--
	v := q.levels[at]
	served := v.lines[in]
	item := served.items[0]
	served.items[0] = Item[T]{}
	served.items = served.items[1:]
	q.cut(at, in)
	if len(served.items) > 0 {
		if len(v.lines) == 0 {
			v = q.level(item.Priority)
		}
		v.lines = append(v.lines, served)
	}
	return item
}

// cut removes a line, and its level when that is empty.
func (q *Queue[T]) cut(at, in int) {
	v := q.levels[at]
	v.lines = append(v.lines[:in], v.lines[in+1:]...)
	if len(v.lines) == 0 {
		q.levels = append(q.levels[:at], q.levels[at+1:]...)
	}
}

// displace removes the item that gives way to a new one.
func (q *Queue[T]) displace(item Item[T]) *Item[T] {
	if len(q.levels) == 0 {
		return nil
	}
	at := len(q.levels) - 1
	lowest := q.levels[at]
	if lowest.priority > item.Priority {
		return nil
	}
	longest, own := 0, 0
	for i := range lowest.lines {
		if len(lowest.lines[i].items) > len(lowest.lines[longest].items) {
			longest = i
		}
		if lowest.lines[i].account == item.Account {
			own = len(lowest.lines[i].items)
		}
	}
	items := lowest.lines[longest].items
	if lowest.priority == item.Priority && len(items) < own+2 {
		return nil
	}
	victim := items[len(items)-1]
	lowest.lines[longest].items = items[:len(items)-1]
	if len(items) == 1 {
		q.cut(at, longest)
	}
	q.length--
	return &victim
}
