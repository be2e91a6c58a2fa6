package port

import "context"

// Link calls methods of other daemons. The method is "Service.Method" in the
// sense of net/rpc; args is a value, reply a pointer.
type Link interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}
