package lacegateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacebackend"
	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/lacegrant"
	"lacewingcove/lib/lacejournal"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/lacelistener"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/lacerequest"
	"lacewingcove/lib/lacetrace"
	"lacewingcove/lib/laceunit"
)

// message is an input with callbacks: onAccept runs when the loop processes the input, onDiscard if it never does.
type message struct {
	input     lacerequest.Input
	onAccept  func()
	onDiscard func()
}

// driver performs the effects of one state machine and passes the results to it as inputs.
type driver struct {
	gateway     *Gateway
	task        task
	machine     *lacerequest.Machine
	reservation lacegrant.Reservation
	inputs      chan message
	stop        chan struct{}
	workers     sync.WaitGroup
	started     time.Time
	recording   *lacetrace.Recording

	pickResult PickResult
	// attemptOpen is true while the result of the attempt has not been reported to the picker.
	attemptOpen   bool
	cancelAttempt context.CancelFunc
	header        http.Header
	// replies is the memory of the replies that the machine may still hold, unsent that of the large chunks which have not
	// been written to the caller.
	replies           []*lacelistener.Holding
	unsent            []*lacelistener.Holding
	firstByteRecorded bool
	// output is the number of output tokens that the account's rate limit is charged at the end.
	output laceunit.Tokens
	// mayBeJournaled is true once this run may have a journal entry.
	mayBeJournaled bool
}

func newDriver(g *Gateway, t task, r lacegrant.Reservation) *driver {
	return &driver{
		gateway:     g,
		task:        t,
		reservation: r,
		inputs:      make(chan message, inputQueueSize),
		stop:        make(chan struct{}),
		started:     g.now(),
		recording:   g.recorder.Begin(t.spec),
	}
}

// loop runs the machine until the caller has the final response. If records are unresolved then, it continues in the
// background.
func (d *driver) loop(caller context.Context) {
	machine, effects := lacerequest.New(d.task.spec)
	d.machine = machine
	d.perform(effects)
	disconnected := caller.Done()
	for !machine.Done() {
		select {
		case m := <-d.inputs:
			d.step(m)
		case <-disconnected:
			disconnected = nil
			d.step(message{input: lacerequest.Gone{}})
		}
	}
	if !machine.HoldsReservation() {
		d.close()
		return
	}
	d.gateway.running.Add(1)
	go func() {
		defer d.gateway.running.Done()
		for machine.HoldsReservation() {
			d.step(<-d.inputs)
		}
		d.close()
	}()
}

// close stops the workers and waits for them in the background.
func (d *driver) close() {
	if err := d.recording.End(); err != nil {
		d.gateway.metrics.traceFailed()
	}
	close(d.stop)
	if d.cancelAttempt != nil {
		d.cancelAttempt()
	}
	d.reportResult(ResultCanceled)
	closeAll(d.replies)
	closeAll(d.unsent)
	d.gateway.running.Add(1)
	go func() {
		defer d.gateway.running.Done()
		d.workers.Wait()
		for len(d.inputs) > 0 {
			(<-d.inputs).discard()
		}
	}()
}

func closeAll(list []*lacelistener.Holding) {
	for _, memory := range list {
		memory.Close()
	}
}

func (d *driver) step(m message) {
	if m.onAccept != nil {
		m.onAccept()
	}
	d.recording.Add(m.input)
	d.perform(d.machine.Step(m.input))
}

func (m message) discard() {
	if m.onDiscard != nil {
		m.onDiscard()
	}
}

// postInput sends an input to the loop.
func (d *driver) postInput(in lacerequest.Input) {
	d.send(message{input: in})
}

// send sends a message to the loop, or discards it if the driver has ended.
func (d *driver) send(m message) {
	select {
	case d.inputs <- m:
	case <-d.stop:
		m.discard()
	}
}

// runAsync runs a blocking step in a goroutine of its own.
func (d *driver) runAsync(step func()) {
	d.workers.Add(1)
	go func() {
		defer d.workers.Done()
		step()
	}()
}

func (d *driver) perform(effects []lacerequest.Effect) {
	for _, e := range effects {
		d.performEffect(e)
	}
}

func (d *driver) performEffect(e lacerequest.Effect) {
	g := d.gateway
	switch e := e.(type) {
	case lacerequest.Pick:
		d.pick(e)
	case lacerequest.Dispatch:
		d.dispatch(e)
	case lacerequest.Abort:
		d.abort(e)
	case lacerequest.Append:
		d.append(e.Record)
	case lacerequest.Copy:
		d.copy(e.Entry)
	case lacerequest.Regrant:
		d.regrant(e)
	case lacerequest.Lookup:
		d.lookup()
	case lacerequest.Emit:
		d.recordFirstByte()
		if err := d.task.sink.writeChunk(e.Text); err != nil {
			d.runAsync(func() { d.postInput(lacerequest.Gone{}) })
		}
		if len(e.Text) > largeChunk && len(d.unsent) > 0 {
			d.unsent[0].Close()
			d.unsent = d.unsent[1:]
		}
	case lacerequest.Reply:
		g.metrics.requestCompleted(g.now().Sub(d.started))
		d.task.sink.reply(e.Response, d.header, e.Missing)
	case lacerequest.Finish:
		d.output = e.Output
		g.metrics.requestCompleted(g.now().Sub(d.started))
		d.task.sink.finish(e.Prompt, e.Output)
	case lacerequest.Refuse:
		if e.Fault.Outcome == lacefault.NotRun {
			g.abandon(d.task)
		}
		d.output = e.Output
		g.metrics.requestRefused(e.Fault)
		d.task.sink.refuse(e.Fault)
	case lacerequest.Release:
		g.deps.Wallet.Settle(d.reservation, e.Used)
	case lacerequest.Resolve:
		if _, isVoid := e.Record.(laceledger.Void); isVoid && d.mayBeJournaled {
			g.deps.Journal.Abandon(d.task.spec.Request)
		}
		g.resolver.add(pendingRecord{
			record:      d.withTimestamp(e.Record),
			reservation: d.reservation,
			server:      d.pickResult.Address,
			lookup:      e.Server != "",
			request:     d.backendRequest(),
		})
	}
}

func (d *driver) recordFirstByte() {
	if !d.firstByteRecorded {
		d.firstByteRecorded = true
		d.gateway.metrics.observeFirstByte(d.gateway.now().Sub(d.started))
	}
}

func (d *driver) pick(e lacerequest.Pick) {
	d.reportResult(ResultFailure)
	request := d.task.pickRequest
	request.Exclude, request.Prefer, request.Retry = e.Exclude, e.Prefer, e.Retry
	d.runAsync(func() {
		ctx, cancel := context.WithTimeout(d.gateway.attempts, d.task.timeout)
		defer cancel()
		picked, fault := d.gateway.deps.Picker.Pick(ctx, request)
		if fault != nil {
			d.postInput(lacerequest.Unpicked{Fault: fault})
			return
		}
		d.send(message{
			input:     lacerequest.Picked{Server: picked.Server},
			onAccept:  func() { d.pickResult, d.attemptOpen = picked, true },
			onDiscard: func() { picked.Done(ResultCanceled) },
		})
	})
}

// context returns a context with a timeout. It is independent of the caller's context, since a caller that disconnects
// must not cancel the append of a record.
func (d *driver) context(timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), timeout)
}

// reportResult reports the result of the attempt to the picker, once.
func (d *driver) reportResult(result AttemptResult) {
	if !d.attemptOpen {
		return
	}
	d.attemptOpen = false
	d.pickResult.Done(result)
}

func (d *driver) backendRequest() lacebackend.ScopedRequestID {
	return lacebackend.Scope(d.task.caller.id, d.task.id)
}

func (d *driver) abort(e lacerequest.Abort) {
	if d.cancelAttempt != nil {
		d.cancelAttempt()
		d.cancelAttempt = nil
	}
	d.reportResult(ResultCanceled)
	if e.KeepRunning || d.task.invocation != nil {
		return
	}
	address := d.pickResult.Address
	d.runAsync(func() {
		ctx, cancel := d.context(recordTimeout)
		defer cancel()
		// If the cancellation fails, the run ends at its token limit.
		_ = d.gateway.deps.Backend.Cancel(ctx, address, d.backendRequest(), e.Attempt)
	})
}

// withTimestamp returns the record with the current time if the ledger keeps it for its retention window.
func (d *driver) withTimestamp(record laceledger.Record) laceledger.Record {
	return withTimestamp(record, d.gateway.now())
}

func (d *driver) append(record laceledger.Record) {
	record = d.withTimestamp(record)
	d.runAsync(func() {
		ctx, cancel := d.context(recordTimeout)
		defer cancel()
		verdict, err := d.gateway.deps.Ledger.Append(ctx, record, d.urgency(record))
		unacknowledged := err != nil
		switch record.(type) {
		case laceledger.Settle:
			d.postInput(lacerequest.Billed{
				Verdict:        verdict,
				Unacknowledged: unacknowledged,
			})
		case laceledger.Void:
			d.postInput(lacerequest.Voided{Unacknowledged: unacknowledged})
		default:
			d.postInput(lacerequest.Durable{
				Verdict:        verdict,
				Unacknowledged: unacknowledged,
				NotAppended:    errors.Is(err, laceplatform.ErrUnavailable),
			})
		}
	})
}

func (d *driver) urgency(record laceledger.Record) laceledger.Urgency {
	if _, isIntent := record.(laceledger.Intent); isIntent && !d.task.spec.Idempotent {
		return laceledger.UrgencyImmediate
	}
	return laceledger.UrgencyNormal
}

func (d *driver) copy(entry laceledger.Offline) {
	if !entry.Finished {
		r, ok := d.gateway.deps.Wallet.Convert(d.reservation)
		if !ok {
			d.runAsync(func() { d.postInput(lacerequest.Copied{}) })
			return
		}
		d.reservation = r
	}
	entry.At = d.gateway.now().Unix()
	d.runAsync(func() {
		ctx, cancel := d.context(recordTimeout)
		defer cancel()
		err := d.gateway.deps.Journal.Copy(ctx, entry, d.task.decision)
		d.send(message{
			input: lacerequest.Copied{OK: err == nil},
			onAccept: func() {
				// An existing entry belongs to an earlier run and must be kept.
				d.mayBeJournaled = d.mayBeJournaled || !errors.Is(err, lacejournal.ErrAlreadyStarted)
			},
		})
	})
}

func (d *driver) regrant(e lacerequest.Regrant) {
	if e.Closed {
		d.gateway.deps.Wallet.Drop(d.task.spec.Budget, e.Grant)
	} else {
		// The reservation is released; a new one is made from another grant.
		d.gateway.deps.Wallet.Settle(d.reservation, 0)
		d.gateway.deps.Wallet.Retire(d.task.spec.Budget, e.Grant)
	}
	d.runAsync(func() {
		ctx, cancel := d.context(reserveTimeout)
		defer cancel()
		r, err := d.gateway.deps.Wallet.Reserve(ctx, d.task.spec.Budget, d.task.spec.Ceiling)
		if err != nil {
			d.postInput(lacerequest.Regranted{Fault: walletFault(err)})
			return
		}
		d.send(message{
			input:     lacerequest.Regranted{Grant: r.Grant},
			onAccept:  func() { d.reservation = r },
			onDiscard: func() { d.gateway.deps.Wallet.Settle(r, 0) },
		})
	})
}

func (d *driver) lookup() {
	address := d.pickResult.Address
	d.runAsync(func() {
		ctx, cancel := d.context(recordTimeout)
		defer cancel()
		status, err := d.gateway.deps.Backend.Lookup(ctx, address, d.backendRequest())
		d.postInput(lacerequest.Found{Ran: err == nil && status.State == lacebackend.StateDone})
	})
}
