// Package lacepeer implements the calls between instances over twirp.
package lacepeer
