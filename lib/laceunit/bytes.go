package laceunit

// Bytes is a number of bytes sent over a link in one direction.
type Bytes int64
