package laceunit

// Bytes counts bytes that cross a link in one direction.
type Bytes int64
