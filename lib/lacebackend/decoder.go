package lacebackend

import (
	"encoding/json"
	"io"
	"unicode/utf8"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

// decoder decodes and validates the events of a streamed response. The chunks that it returns can be forwarded to
// callers.
type decoder struct {
	events    *eventReader
	attempt   laceunit.AttemptID
	nextIndex int
	// onEnd is called once the end marker has been read, before the decoder waits for the end of the input.
	onEnd func()
	err   error
}

// nextChunk returns the next chunk, io.EOF after the end chunk, or one of the reasons of Error. An error is permanent.
func (d *decoder) nextChunk() (Chunk, error) {
	if d.err != nil {
		return Chunk{}, d.err
	}
	c, err := d.readChunk()
	switch {
	case err != nil:
		d.err = err
		return Chunk{}, err
	case c.End:
		d.err = io.EOF
	}
	return c, nil
}

func (d *decoder) readChunk() (Chunk, error) {
	data, err := d.events.next()
	if err != nil {
		return Chunk{}, readError(err)
	}
	var w wireChunk
	// encoding/json replaces invalid UTF-8 without an error, and the forwarded text would be altered.
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
		return d.decodeEnd(w)
	}
	if w.Index == nil || w.Text == nil {
		return Chunk{}, ErrMalformed
	}
	if *w.Index != d.nextIndex {
		return Chunk{}, errors.Wrapf(ErrChunkOrder, "index %d, expected %d", *w.Index, d.nextIndex)
	}
	d.nextIndex++
	return Chunk{
		Index: *w.Index,
		Text:  *w.Text,
	}, nil
}

// decodeEnd accepts the end marker only if no data follows it, so that the end chunk is always the last one.
func (d *decoder) decodeEnd(w wireChunk) (Chunk, error) {
	if w.Cancelled {
		return Chunk{}, errors.Wrap(ErrIncomplete, "cancelled by the server")
	}
	if w.Tokens == nil || w.Prompt == nil || *w.Tokens < 0 || *w.Prompt < 0 || w.Text != nil {
		return Chunk{}, ErrMalformed
	}
	if w.Index != nil && *w.Index != d.nextIndex {
		return Chunk{}, errors.Wrapf(ErrChunkOrder, "end at %d, expected %d", *w.Index, d.nextIndex)
	}
	if d.onEnd != nil {
		d.onEnd()
	}
	switch _, err := d.events.next(); {
	case err == nil, errors.Is(err, ErrTooLong):
		return Chunk{}, ErrTrailingData
	case !errors.Is(err, io.EOF):
		return Chunk{}, readError(err)
	}
	return Chunk{
		Index:        d.nextIndex,
		End:          true,
		OutputTokens: laceunit.Tokens(*w.Tokens),
		PromptTokens: laceunit.Tokens(*w.Prompt),
	}, nil
}

// readError returns the reason for an error of the event reader.
func readError(err error) error {
	for _, reason := range []error{ErrTooLong, ErrNoMemory} {
		if errors.Is(err, reason) {
			return reason
		}
	}
	return errors.Wrap(ErrIncomplete, err.Error())
}
