package laceconn

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// checkTrailer makes the body of a response in chunks fail at its end if the name of a trailer field is not valid, which
// net/http accepts as in a head.
func checkTrailer(response *http.Response) {
	if len(response.TransferEncoding) > 0 && response.Body != http.NoBody {
		response.Body = &trailerBody{
			ReadCloser: response.Body,
			response:   response,
		}
	}
}

// trailerBody is the body of a response in chunks.
type trailerBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *trailerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	for name := range b.response.Trailer {
		if !isToken([]byte(name)) {
			return n, errors.Wrap(ErrInvalidResponse, "name of a trailer field")
		}
	}
	return n, err
}
