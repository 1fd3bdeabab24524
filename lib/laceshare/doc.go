// Package laceshare divides the request rate that a backend server has named among the instances.
//
// The store holds one record for each server that names a limit. It lists the parts of the limit with the instance that
// holds each; changes are compare-and-swap. Book is the decision of one instance, without network or clock; Service runs it.
package laceshare
