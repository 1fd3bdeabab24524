// Package lacepeer implements the Twirp calls between instances: messages of the membership protocol, copies and
// flushes of the offline journal, and token transfers.
package lacepeer
