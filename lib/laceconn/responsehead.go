package laceconn

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
)

// ErrInvalidResponse means that a server sent bytes that are not a valid HTTP/1 response.
var ErrInvalidResponse = errors.New("conn: invalid response")

const (
	// maxHeaderBytes limits the response head, including the interim (1xx) responses before it.
	maxHeaderBytes = 64 << 10
	// maxHeaderFields limits the field lines of a response head, since each takes more memory than its text.
	maxHeaderFields = 1000
	// minStatus and maxStatus are the bounds of valid status codes (RFC 9110, section 15).
	minStatus = 100
	maxStatus = 599
	// versionPrefix is the beginning of a status line; the minor version, a blank and the status follow.
	versionPrefix = "HTTP/1."
)

// responseHead checks the bytes of a response head as they arrive, from the first interim (1xx) response to the empty
// line of the final one. It is stricter than net/http, which accepts any three-digit number as a status, and blanks in
// field names. The zero value expects a status line.
type responseHead struct {
	// line holds the bytes of a line that has not ended.
	line []byte
	// size and fields count the bytes and the field lines so far.
	size, fields int
	// status is the status of the current response; 0 before its status line.
	status int
	// minorVersion is the minor version of HTTP of the current response.
	minorVersion byte
	// hasLength and hasTransferEncoding are true after such fields.
	hasLength           bool
	hasTransferEncoding bool
}

// started reports whether a part of the head has arrived.
func (h *responseHead) started() bool { return h.size > 0 }

// write checks the next bytes. It returns whether the head ended within them; what follows it belongs to the body.
func (h *responseHead) write(p []byte) (done bool, err error) {
	for len(p) > 0 {
		part, rest, ended := bytes.Cut(p, []byte{'\n'})
		h.size += len(p) - len(rest)
		if h.size > maxHeaderBytes {
			return false, errors.Wrap(ErrInvalidResponse, "head is too long")
		}
		p = rest
		h.line = append(h.line, part...)
		if !ended {
			return false, h.checkPart()
		}
		line := bytes.TrimSuffix(h.line, []byte{'\r'})
		done, err = h.checkLine(line)
		if done || err != nil {
			return done, err
		}
		h.line = h.line[:0]
	}
	return false, nil
}

// checkPart checks a line that has not ended, so that bytes that are no response are rejected before a line ends.
func (h *responseHead) checkPart() error {
	n := min(len(h.line), len(versionPrefix))
	if h.status == 0 && string(h.line[:n]) != versionPrefix[:n] {
		return errors.Wrap(ErrInvalidResponse, "status line")
	}
	return nil
}

// checkLine checks a complete line and returns whether it ends the head of a final response.
func (h *responseHead) checkLine(line []byte) (done bool, err error) {
	switch {
	case h.status == 0:
		return false, h.checkStatusLine(line)
	case len(line) > 0:
		return false, h.checkField(line)
	}
	if err := h.checkFraming(); err != nil {
		return false, err
	}
	if h.status >= http.StatusOK {
		return true, nil
	}
	h.status, h.hasLength, h.hasTransferEncoding = 0, false, false
	return false, nil
}

// checkStatusLine checks a status line: the version, the status, and optionally a blank and the reason phrase.
func (h *responseHead) checkStatusLine(line []byte) error {
	const codeAt, codeEnd = len(versionPrefix) + 2, len(versionPrefix) + 5
	if !bytes.HasPrefix(line, []byte(versionPrefix)) || len(line) < codeEnd || !isDigit(line[codeAt-2]) || line[codeAt-1] != ' ' {
		return errors.Wrap(ErrInvalidResponse, "status line")
	}
	h.minorVersion = line[codeAt-2]
	code, reason := line[codeAt:codeEnd], line[codeEnd:]
	for _, b := range code {
		if !isDigit(b) {
			return errors.Wrap(ErrInvalidResponse, "status is not a number")
		}
		h.status = h.status*10 + int(b-'0')
	}
	if len(reason) > 0 && reason[0] != ' ' || !isText(reason) {
		return errors.Wrap(ErrInvalidResponse, "reason phrase")
	}
	if h.status < minStatus || h.status > maxStatus || h.status == http.StatusSwitchingProtocols {
		return errors.Wrap(ErrInvalidResponse, "status "+strconv.Quote(string(code)))
	}
	return nil
}

// checkField checks a field line. A line that begins with a blank would continue the line before it; that syntax is
// obsolete (RFC 9112, section 5.2), and the line could be taken for a field of its own.
func (h *responseHead) checkField(line []byte) error {
	if h.fields++; h.fields > maxHeaderFields {
		return errors.Wrap(ErrInvalidResponse, "too many fields")
	}
	name, value, hasColon := bytes.Cut(line, []byte{':'})
	if !hasColon || !isToken(name) {
		return errors.Wrap(ErrInvalidResponse, "field name")
	}
	if !isText(value) {
		return errors.Wrap(ErrInvalidResponse, "value of field "+string(name))
	}
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		h.hasLength = true
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		h.hasTransferEncoding = true
	}
	return nil
}

// checkFraming rejects a head that leaves open where the body ends (RFC 9112, section 6.1). net/http would ignore one of
// the fields.
func (h *responseHead) checkFraming() error {
	if h.hasTransferEncoding && (h.hasLength || h.minorVersion == '0') {
		return errors.Wrap(ErrInvalidResponse, "Transfer-Encoding beside a length or in HTTP/1.0")
	}
	return nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isText reports whether bytes may stand in a field value or a reason phrase: visible characters, blanks, tabs, and
// bytes above ASCII.
func isText(p []byte) bool {
	const del = 0x7f
	for _, b := range p {
		if b < ' ' && b != '\t' || b == del {
			return false
		}
	}
	return true
}

// isToken reports whether bytes are a field name (RFC 9110, section 5.6.2).
func isToken(p []byte) bool {
	for _, b := range p {
		isLetter := 'a' <= b|0x20 && b|0x20 <= 'z'
		if !isLetter && !isDigit(b) && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), b) < 0 {
			return false
		}
	}
	return len(p) > 0
}
