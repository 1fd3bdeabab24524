package lacelimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"lacewingcove/lib/laceunit"
)

func startTime() time.Time { return time.Unix(1000, 0) }

func item(account string, priority laceunit.Priority, value int) Item[int] {
	return Item[int]{
		Account:  laceunit.AccountID(account),
		Priority: priority,
		Deadline: startTime().Add(time.Duration(value) * time.Second),
		Value:    value,
	}
}

func always(int) bool { return true }

func popAll(q *Queue[int]) []int {
	var list []int
	for {
		i, ok := q.Pop(always)
		if !ok {
			return list
		}
		list = append(list, i.Value)
	}
}

func assertValues(t *testing.T, got []int, want ...int) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("got %v, want %v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("got %v, want %v", got, want)
		}
	}
}

// Guards against a low priority that is served before a high one, and an account that is served out of turn.
func TestQueueOrder(t *testing.T) {
	q := NewQueue[int](16)
	for _, i := range []Item[int]{
		item("a", 0, 1), item("a", 1, 2), item("a", 1, 3), item("a", 1, 4), item("b", 1, 5), item("c", 3, 6),
	} {
		q.Push(i)
	}
	assertValues(t, popAll(q), 6, 2, 5, 3, 4, 1)
}

// Guards against a queue that grows beyond its bound or displaces the wrong request.
func TestQueueDisplaces(t *testing.T) {
	for _, c := range []struct {
		name      string
		in        Item[int]
		displaced int
		ok        bool
	}{
		{"lower priority refused", item("d", 0, 9), 0, false},
		{"same priority, own account longest", item("a", 1, 9), 0, false},
		{"same priority, account with fewer", item("c", 1, 9), 3, true},
		{"same priority, account with one less", item("b", 1, 9), 3, true},
		{"higher priority", item("a", 2, 9), 3, true},
	} {
		q := NewQueue[int](4)
		for _, i := range []Item[int]{item("a", 1, 1), item("a", 1, 2), item("a", 1, 3), item("b", 1, 4)} {
			q.Push(i)
		}
		displaced, ok := q.Push(c.in)
		if ok != c.ok || (displaced != nil) != c.ok || (displaced != nil && displaced.Value != c.displaced) ||
			q.Len() != 4 {
			t.Errorf("%s: got %v, %v with %d items", c.name, displaced, ok, q.Len())
		}
	}
}

// Guards against starvation of a low priority by a steady load of a higher one, and of other accounts by an item that
// can't be served.
func TestQueuePreventsStarvation(t *testing.T) {
	q := NewQueue[int](64)
	q.Push(item("low", 0, 1))
	for n := 2; ; n++ {
		q.Push(item("high", 3, n))
		q.Push(item("high", 3, n))
		i, _ := q.Pop(always)
		if i.Value == 1 {
			break
		}
		if n > 2*agingInterval {
			t.Fatalf("low priority not served within %d pops", n)
		}
	}
	q = NewQueue[int](8)
	q.Push(item("stuck", 1, 1))
	q.Push(item("other", 1, 2))
	if i, ok := q.Pop(func(v int) bool { return v != 1 }); !ok || i.Value != 2 {
		t.Fatalf("got %v, %v", i, ok)
	}
}

// Guards against items that stay in the queue beyond their deadline.
func TestQueueExpires(t *testing.T) {
	q := NewQueue[int](8)
	for n := 1; n <= 3; n++ {
		q.Push(item("a", laceunit.Priority(n), n))
	}
	expired := q.Expire(startTime().Add(2 * time.Second))
	next, ok := q.Next()
	if len(expired) != 2 || q.Len() != 1 || !ok || !next.Equal(startTime().Add(3*time.Second)) {
		t.Fatalf("expired %v, next %v %v", expired, next, ok)
	}
}

// Guards against items that are lost or returned twice.
func TestQueueDecidesEachItemOnce(t *testing.T) {
	const seed = 7
	random := rand.New(rand.NewPCG(seed, 0))
	q := NewQueue[int](20)
	pending := map[int]int{}
	now := startTime()
	for n := range 20000 {
		switch random.IntN(5) {
		case 0, 1, 2:
			i := item(string(rune('a'+random.IntN(4))), laceunit.Priority(random.IntN(4)), n)
			i.Deadline = now.Add(time.Duration(random.IntN(500)) * time.Millisecond)
			displaced, ok := q.Push(i)
			if ok {
				pending[n]++
			}
			if displaced != nil {
				pending[displaced.Value]--
			}
		case 3:
			if i, ok := q.Pop(func(int) bool { return random.IntN(2) == 0 }); ok {
				pending[i.Value]--
			}
		default:
			now = now.Add(20 * time.Millisecond)
			for _, i := range q.Expire(now) {
				pending[i.Value]--
			}
		}
		total := 0
		for v, s := range pending {
			if s < 0 || s > 1 {
				t.Fatalf("seed %d: item %d is in the queue %d times", seed, v, s)
			}
			if s == 0 {
				delete(pending, v)
			}
			total += s
		}
		if total != q.Len() || total > 20 {
			t.Fatalf("seed %d: %d items expected, %d in the queue", seed, total, q.Len())
		}
	}
}

// Guards against requests of an account that are served late because less urgent ones came first, and against an urgent
// account that skips the turns of the others.
func TestQueueOrdersByTimeLeft(t *testing.T) {
	q := NewQueue[int](16)
	for _, i := range []struct{ value, startBy int }{{1, 90}, {2, 20}, {3, 50}} {
		it := item("a", 1, i.value)
		it.StartBy = time.Unix(int64(i.startBy), 0)
		q.Push(it)
	}
	q.Push(item("b", 1, 4))
	q.Push(item("b", 1, 5))
	q.Push(item("a", 2, 6))
	if got := q.LenFrom(2); got != 1 {
		t.Errorf("%d items from priority 2, want 1", got)
	}
	assertValues(t, popAll(q), 6, 2, 4, 3, 5, 1)
}
