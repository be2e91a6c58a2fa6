package etcd

import (
	"rattanline.example/rattanline/port"
)

// The gateway encodes 64-bit integers as JSON strings and bytes in base64. It omits
// fields that have the zero value.

type header struct {
	Revision int64 `json:"revision,string"`
}

type rangeRequest struct {
	Key      string `json:"key"`
	RangeEnd string `json:"range_end,omitempty"`
}

type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
}

func (kv keyValue) entry() port.Entry {
	return port.Entry{Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision}
}

type rangeReply struct {
	KVs []keyValue `json:"kvs"`
}

type compare struct {
	Key         string `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

type putRequest struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

type deleteRequest struct {
	Key string `json:"key"`
}

type operation struct {
	Put    *putRequest    `json:"request_put,omitempty"`
	Delete *deleteRequest `json:"request_delete_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare,omitempty"`
	Success []operation `json:"success,omitempty"`
}

func newTxn(t port.Transaction) txnRequest {
	var r txnRequest
	for _, c := range t.Conditions {
		r.Compare = append(r.Compare, compare{
			Key: encode(c.Key), Target: "MOD", Result: "EQUAL", ModRevision: c.Revision,
		})
	}
	for _, w := range t.Writes {
		if w.Delete {
			r.Success = append(r.Success, operation{Delete: &deleteRequest{Key: encode(w.Key)}})
			continue
		}
		r.Success = append(r.Success, operation{Put: &putRequest{Key: encode(w.Key), Value: w.Value, Lease: w.Lease}})
	}
	return r
}

type txnReply struct {
	Header    header `json:"header"`
	Succeeded bool   `json:"succeeded"`
}

type leaseRequest struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"`
}

type leaseReply struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchCreate struct {
	Key            string `json:"key"`
	RangeEnd       string `json:"range_end"`
	StartRevision  int64  `json:"start_revision,string"`
	ProgressNotify bool   `json:"progress_notify"`
}

type watchReply struct {
	Result struct {
		Canceled        bool   `json:"canceled"`
		CancelReason    string `json:"cancel_reason"`
		CompactRevision int64  `json:"compact_revision,string"`
		Events          []struct {
			Type string   `json:"type"` // empty for PUT, which is the zero value
			KV   keyValue `json:"kv"`
		} `json:"events"`
	} `json:"result"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}
