package lacelimit

import (
	"slices"
	"time"

	"lacewingcove/lib/laceunit"
)

// agingInterval is after how many pops the item that has waited longest is taken instead of the one with the highest
// priority. This keeps low priorities from starving and costs the high ones at most one pop in eight.
const agingInterval = 8

// Item is a waiting request with what determines its position in the queue.
type Item[T any] struct {
	Account  laceunit.AccountID
	Priority laceunit.Priority
	Deadline time.Time
	// StartBy orders the items of an account: those that must start earlier come first. Items with the zero time are
	// served in the order of arrival.
	StartBy time.Time
	Value   T

	// sequence is the position of the item in the order of arrival.
	sequence uint64
}

// Queue is a bounded queue, ordered by priority and fair between client accounts of the same priority.
type Queue[T any] struct {
	bound  int
	length int
	pops   uint64
	pushes uint64
	// nextDeadline is a lower bound of the deadlines in the queue.
	nextDeadline time.Time
	// levels are sorted by descending priority; empty ones are removed.
	levels []*priorityLevel[T]
}

type priorityLevel[T any] struct {
	priority laceunit.Priority
	// queues hold the items of one account each and are served round-robin: a queue moves to the end when it is served.
	queues []accountQueue[T]
}

type accountQueue[T any] struct {
	account laceunit.AccountID
	items   []Item[T]
}

// NewQueue returns a queue that holds at most bound items.
func NewQueue[T any](bound int) *Queue[T] {
	return &Queue[T]{bound: bound}
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return q.length }

// LenFrom returns the number of items with at least the given priority.
func (q *Queue[T]) LenFrom(priority laceunit.Priority) int {
	n := 0
	for _, l := range q.levels {
		if l.priority < priority {
			break
		}
		for i := range l.queues {
			n += len(l.queues[i].items)
		}
	}
	return n
}

// Top returns the highest priority in the queue, and false when the queue is empty.
func (q *Queue[T]) Top() (laceunit.Priority, bool) {
	if q.length == 0 {
		return 0, false
	}
	return q.levels[0].priority, true
}

// SetBound changes the bound; items beyond it stay.
func (q *Queue[T]) SetBound(bound int) { q.bound = bound }

// Push adds an item. When the queue is full, the item is rejected or displaces another one, which is returned: the
// last item of the account with the most items at the lowest priority, if that priority is below the new item's, or
// equal to it while that account has at least two more items there than the new item's account.
func (q *Queue[T]) Push(item Item[T]) (displaced *Item[T], ok bool) {
	if q.length >= q.bound {
		displaced = q.displace(item)
		if displaced == nil {
			return nil, false
		}
	}
	q.pushes++
	item.sequence = q.pushes
	l := q.levelFor(item.Priority)
	l.add(item)
	q.length++
	if q.length == 1 || item.Deadline.Before(q.nextDeadline) {
		q.nextDeadline = item.Deadline
	}
	return displaced, true
}

// Pop removes and returns the next item for which accept returns true. It offers the first item of each account, so an
// item that can't be served blocks only its own account.
func (q *Queue[T]) Pop(accept func(T) bool) (Item[T], bool) {
	if q.length == 0 {
		return Item[T]{}, false
	}
	if (q.pops+1)%agingInterval == 0 {
		if l, i := q.oldest(); accept(q.levels[l].queues[i].items[0].Value) {
			return q.serve(l, i), true
		}
	}
	for l, v := range q.levels {
		for i := range v.queues {
			if accept(v.queues[i].items[0].Value) {
				return q.serve(l, i), true
			}
		}
	}
	return Item[T]{}, false
}

// Expire removes and returns the items whose deadline has passed.
func (q *Queue[T]) Expire(now time.Time) []Item[T] {
	if q.length == 0 || now.Before(q.nextDeadline) {
		return nil
	}
	return q.Drop(func(i Item[T]) bool { return !now.Before(i.Deadline) })
}

// Next returns a time before which no item expires, and false when the queue is empty.
func (q *Queue[T]) Next() (time.Time, bool) { return q.nextDeadline, q.length > 0 }

// Drop removes and returns the items for which match returns true.
func (q *Queue[T]) Drop(match func(Item[T]) bool) []Item[T] {
	var dropped []Item[T]
	q.nextDeadline = time.Time{}
	for l := len(q.levels) - 1; l >= 0; l-- {
		v := q.levels[l]
		for i := len(v.queues) - 1; i >= 0; i-- {
			kept := v.queues[i].items[:0]
			for _, it := range v.queues[i].items {
				if match(it) {
					dropped = append(dropped, it)
					continue
				}
				kept = append(kept, it)
				if q.nextDeadline.IsZero() || it.Deadline.Before(q.nextDeadline) {
					q.nextDeadline = it.Deadline
				}
			}
			v.queues[i].items = kept
			if len(kept) == 0 {
				q.removeQueue(l, i)
			}
		}
	}
	q.length -= len(dropped)
	return dropped
}

// levelFor returns the level of a priority and inserts it if there is none.
func (q *Queue[T]) levelFor(priority laceunit.Priority) *priorityLevel[T] {
	index := 0
	for index < len(q.levels) && q.levels[index].priority > priority {
		index++
	}
	if index < len(q.levels) && q.levels[index].priority == priority {
		return q.levels[index]
	}
	q.levels = append(q.levels, nil)
	copy(q.levels[index+1:], q.levels[index:])
	q.levels[index] = &priorityLevel[T]{priority: priority}
	return q.levels[index]
}

func (l *priorityLevel[T]) add(item Item[T]) {
	for i := range l.queues {
		if l.queues[i].account == item.Account {
			l.queues[i].insert(item)
			return
		}
	}
	l.queues = append(l.queues, accountQueue[T]{
		account: item.Account,
		items:   []Item[T]{item},
	})
}

func (q *accountQueue[T]) insert(item Item[T]) {
	position := len(q.items)
	for !item.StartBy.IsZero() && position > 0 && q.items[position-1].StartBy.After(item.StartBy) {
		position--
	}
	q.items = slices.Insert(q.items, position, item)
}

// oldest returns the indexes of the level and the account queue of the item that has waited longest.
func (q *Queue[T]) oldest() (levelIndex, queueIndex int) {
	best := ^uint64(0)
	for l, v := range q.levels {
		for i := range v.queues {
			if o := v.queues[i].items[0].sequence; o < best {
				best, levelIndex, queueIndex = o, l, i
			}
		}
	}
	return levelIndex, queueIndex
}

// serve removes and returns the first item of an account queue and moves the queue to the end of its level.
func (q *Queue[T]) serve(levelIndex, queueIndex int) Item[T] {
	q.pops++
	q.length--
	v := q.levels[levelIndex]
	served := v.queues[queueIndex]
	item := served.items[0]
	served.items[0] = Item[T]{}
	served.items = served.items[1:]
	q.removeQueue(levelIndex, queueIndex)
	if len(served.items) > 0 {
		if len(v.queues) == 0 {
			v = q.levelFor(item.Priority)
		}
		v.queues = append(v.queues, served)
	}
	return item
}

// removeQueue removes an account queue, and its level when that becomes empty.
func (q *Queue[T]) removeQueue(levelIndex, queueIndex int) {
	v := q.levels[levelIndex]
	v.queues = append(v.queues[:queueIndex], v.queues[queueIndex+1:]...)
	if len(v.queues) == 0 {
		q.levels = append(q.levels[:levelIndex], q.levels[levelIndex+1:]...)
	}
}

// displace removes and returns the item that a new one displaces, nil if there is none.
func (q *Queue[T]) displace(item Item[T]) *Item[T] {
	if len(q.levels) == 0 {
		return nil
	}
	levelIndex := len(q.levels) - 1
	lowest := q.levels[levelIndex]
	if lowest.priority > item.Priority {
		return nil
	}
	longest, ownLength := 0, 0
	for i := range lowest.queues {
		if len(lowest.queues[i].items) > len(lowest.queues[longest].items) {
			longest = i
		}
		if lowest.queues[i].account == item.Account {
			ownLength = len(lowest.queues[i].items)
		}
	}
	items := lowest.queues[longest].items
	if lowest.priority == item.Priority && len(items) < ownLength+2 {
		return nil
	}
	victim := items[len(items)-1]
	lowest.queues[longest].items = items[:len(items)-1]
	if len(items) == 1 {
		q.removeQueue(levelIndex, longest)
	}
	q.length--
	return &victim
}
