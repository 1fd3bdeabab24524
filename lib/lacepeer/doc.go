// Package lacepeer carries calls between instances over twirp.
package lacepeer
