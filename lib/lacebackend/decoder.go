package lacebackend

import (
	"encoding/json"
	"io"
	"unicode/utf8"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

// decoder checks the events of one answer; what it returns is safe to pass on.
type decoder struct {
	events  *eventReader
	attempt laceunit.AttemptID
	next    int
	// ended is called once when the end marker is read and the end of the input is still to come.
	ended func()
	err   error
}

// chunk returns the next chunk, io.EOF after the end chunk, or one of the reasons of Error.
func (d *decoder) chunk() (Chunk, error) {
	if d.err != nil {
		return Chunk{}, d.err
	}
	c, err := d.read()
	switch {
	case err != nil:
		d.err = err
		return Chunk{}, err
	case c.End:
		d.err = io.EOF
	}
	return c, nil
}

func (d *decoder) read() (Chunk, error) {
	data, err := d.events.next()
	if err != nil {
		return Chunk{}, readReason(err)
	}
	var w wireChunk
	// encoding/json replaces invalid UTF-8 silently, which would pass on a changed text.
	if !utf8.Valid(data) {
		return Chunk{}, ErrMalformed
	}
	if err := json.Unmarshal(data, &w); err != nil {
		return Chunk{}, errors.Wrap(ErrMalformed, err.Error())
	}
	if w.Attempt != string(d.attempt) {
		return Chunk{}, ErrWrongAttempt
	}
	if w.End {
		return d.end(w)
	}
	if w.Index == nil || w.Text == nil {
		return Chunk{}, ErrMalformed
	}
	if *w.Index != d.next {
		return Chunk{}, errors.Wrapf(ErrChunkOrder, "index %d, expected %d", *w.Index, d.next)
	}
	d.next++
	return Chunk{
		Index: *w.Index,
		Text:  *w.Text,
	}, nil
}

// end accepts the end marker only when nothing follows it, so that a caller never sees an end that is not the end.
func (d *decoder) end(w wireChunk) (Chunk, error) {
	if w.Cancelled {
		return Chunk{}, errors.Wrap(ErrIncomplete, "cancelled at the server")
	}
	if w.Tokens == nil || w.Prompt == nil || *w.Tokens < 0 || *w.Prompt < 0 || w.Text != nil {
		return Chunk{}, ErrMalformed
	}
	if w.Index != nil && *w.Index != d.next {
		return Chunk{}, errors.Wrapf(ErrChunkOrder, "end at %d, expected %d", *w.Index, d.next)
	}
	if d.ended != nil {
		d.ended()
	}
	switch _, err := d.events.next(); {
	case err == nil, errors.Is(err, ErrTooLong):
		return Chunk{}, ErrTrailingData
	case !errors.Is(err, io.EOF):
		return Chunk{}, readReason(err)
	}
	return Chunk{
		Index:        d.next,
		End:          true,
		OutputTokens: laceunit.Tokens(*w.Tokens),
		PromptTokens: laceunit.Tokens(*w.Prompt),
	}, nil
}

func readReason(err error) error {
	if errors.Is(err, ErrTooLong) {
		return ErrTooLong
	}
	return errors.Wrap(ErrIncomplete, err.Error())
}
