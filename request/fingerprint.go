package request

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies the content of a request for the poison quarantine. A
// resend has the same fingerprint under any request id and idempotency key.
func Fingerprint(account, service string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Lengths keep ("ab","c") and ("a","bc") apart.
	var lengths [16]byte
	binary.LittleEndian.PutUint64(lengths[:8], uint64(len(account)))
	binary.LittleEndian.PutUint64(lengths[8:], uint64(len(service)))
	_, _ = d.Write(lengths[:])
	_, _ = d.WriteString(account)
	_, _ = d.WriteString(service)
	_, _ = d.Write(body)
	return d.Sum64()
}
