// Package lacestandin emulates the systems around the fleet: the platform's key-value service, the instance list, model
// engines, plain services and the weight store, each on loopback addresses of its own.
//
//	standin -config samples/standin.yaml [-only platform,list] [-seed 7] [-fault 'order-1:late=0.1,late_by=2s']
//
// Every server takes GET and POST /faults; a POST replaces all faults of that server. Servers other than the instance
// list count what reached them at GET /v1/counts.
package lacestandin
