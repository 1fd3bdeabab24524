package lacelimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"lacewingcove/lib/laceunit"
)

func start() time.Time { return time.Unix(1000, 0) }

func item(account string, priority laceunit.Priority, value int) Item[int] {
	return Item[int]{
		Account:  laceunit.AccountID(account),
		Priority: priority,
		Deadline: start().Add(time.Duration(value) * time.Second),
		Value:    value,
	}
}

func always(int) bool { return true }

func values(q *Queue[int]) []int {
	var list []int
	for {
		i, ok := q.Pop(always)
		if !ok {
			return list
		}
		list = append(list, i.Value)
	}
}

func same(t *testing.T, got []int, want ...int) {
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

// Guards against a low priority served before a high one and an account served out of turn.
func TestQueueOrder(t *testing.T) {
	q := NewQueue[int](16)
	for _, i := range []Item[int]{
		item("a", 0, 1), item("a", 1, 2), item("a", 1, 3), item("a", 1, 4), item("b", 1, 5), item("c", 3, 6),
	} {
		q.Push(i)
	}
	same(t, values(q), 6, 2, 5, 3, 4, 1)
}

// Guards against a queue that grows past its bound or gives a place away to the wrong request.
func TestQueueDisplaces(t *testing.T) {
	for _, c := range []struct {
		name string
		in   Item[int]
		gone int
		ok   bool
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
		gone, ok := q.Push(c.in)
		if ok != c.ok || (gone != nil) != c.ok || (gone != nil && gone.Value != c.gone) || q.Len() != 4 {
			t.Errorf("%s: got %v, %v with %d items", c.name, gone, ok, q.Len())
		}
	}
}

// Guards against starvation: a low priority that is never served while higher ones keep coming, and an item that
// can't be served and holds up the other accounts.
func TestQueueServesEveryone(t *testing.T) {
	q := NewQueue[int](64)
	q.Push(item("low", 0, 1))
	for n := 2; ; n++ {
		q.Push(item("high", 3, n))
		q.Push(item("high", 3, n))
		i, _ := q.Pop(always)
		if i.Value == 1 {
			break
		}
		if n > 2*agedEvery {
			t.Fatalf("low priority not served within %d turns", n)
		}
	}
	q = NewQueue[int](8)
	q.Push(item("stuck", 1, 1))
	q.Push(item("other", 1, 2))
	if i, ok := q.Pop(func(v int) bool { return v != 1 }); !ok || i.Value != 2 {
		t.Fatalf("got %v, %v", i, ok)
	}
}

// Guards against a waiting request that outlives its deadline.
func TestQueueExpires(t *testing.T) {
	q := NewQueue[int](8)
	for n := 1; n <= 3; n++ {
		q.Push(item("a", laceunit.Priority(n), n))
	}
	gone := q.Expire(start().Add(2 * time.Second))
	next, ok := q.Next()
	if len(gone) != 2 || q.Len() != 1 || !ok || !next.Equal(start().Add(3*time.Second)) {
		t.Fatalf("expired %v, next %v %v", gone, next, ok)
	}
}

// Guards against a request that the queue loses or decides twice.
func TestQueueAccountsForEachItem(t *testing.T) {
	const seed = 7
	random := rand.New(rand.NewPCG(seed, 0))
	q := NewQueue[int](20)
	state := map[int]int{}
	now := start()
	for n := range 20000 {
		switch random.IntN(5) {
		case 0, 1, 2:
			i := item(string(rune('a'+random.IntN(4))), laceunit.Priority(random.IntN(4)), n)
			i.Deadline = now.Add(time.Duration(random.IntN(500)) * time.Millisecond)
			gone, ok := q.Push(i)
			if ok {
				state[n]++
			}
			if gone != nil {
				state[gone.Value]--
			}
		case 3:
			if i, ok := q.Pop(func(int) bool { return random.IntN(2) == 0 }); ok {
				state[i.Value]--
			}
		default:
			now = now.Add(20 * time.Millisecond)
			for _, i := range q.Expire(now) {
				state[i.Value]--
			}
		}
		left := 0
		for v, s := range state {
			if s < 0 || s > 1 {
				t.Fatalf("seed %d: item %d decided wrongly: %d", seed, v, s)
			}
			if s == 0 {
				delete(state, v)
			}
			left += s
		}
		if left != q.Len() || left > 20 {
			t.Fatalf("seed %d: %d items expected, %d in the queue", seed, left, q.Len())
		}
	}
}
