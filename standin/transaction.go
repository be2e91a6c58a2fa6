package standin

import (
	"bytes"
	"cmp"
	"fmt"
)

type rangeRequest struct {
	Key       []byte  `json:"key"`
	RangeEnd  []byte  `json:"range_end"`
	Limit     integer `json:"limit"`
	KeysOnly  bool    `json:"keys_only"`
	CountOnly bool    `json:"count_only"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	KVs    []keyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  integer    `json:"count,omitempty"`
}

type putRequest struct {
	Key   []byte  `json:"key"`
	Value []byte  `json:"value"`
	Lease integer `json:"lease"`
}

type putResponse struct {
	Header header `json:"header"`
}

type deleteRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

type deleteResponse struct {
	Header  header  `json:"header"`
	Deleted integer `json:"deleted,omitempty"`
}

type compare struct {
	Result         string  `json:"result"`
	Target         string  `json:"target"`
	Key            []byte  `json:"key"`
	Version        integer `json:"version"`
	CreateRevision integer `json:"create_revision"`
	ModRevision    integer `json:"mod_revision"`
	Value          []byte  `json:"value"`
}

type operation struct {
	Range  *rangeRequest  `json:"request_range"`
	Put    *putRequest    `json:"request_put"`
	Delete *deleteRequest `json:"request_delete_range"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []operation `json:"success"`
	Failure []operation `json:"failure"`
}

type operationResponse struct {
	Range  *rangeResponse  `json:"response_range,omitempty"`
	Put    *putResponse    `json:"response_put,omitempty"`
	Delete *deleteResponse `json:"response_delete_range,omitempty"`
}

type txnResponse struct {
	Header    header              `json:"header"`
	Succeeded bool                `json:"succeeded,omitempty"`
	Responses []operationResponse `json:"responses,omitempty"`
}

// evaluate reports whether a comparison holds. The version and the revisions of a
// key that doesn't exist are zero.
func (s *store) evaluate(c compare) (bool, error) {
	e := s.entries[string(c.Key)]
	var order int
	switch c.Target {
	case "", "VERSION":
		order = cmp.Compare(e.Version, c.Version)
	case "CREATE":
		order = cmp.Compare(e.CreateRevision, c.CreateRevision)
	case "MOD":
		order = cmp.Compare(e.ModRevision, c.ModRevision)
	case "VALUE":
		if e.Version == 0 {
			return false, nil
		}
		order = bytes.Compare(e.Value, c.Value)
	default:
		return false, &gatewayError{codeInvalid, fmt.Sprintf("unknown compare target %q", c.Target)}
	}
	switch c.Result {
	case "", "EQUAL":
		return order == 0, nil
	case "GREATER":
		return order > 0, nil
	case "LESS":
		return order < 0, nil
	case "NOT_EQUAL":
		return order != 0, nil
	}
	return false, &gatewayError{codeInvalid, fmt.Sprintf("unknown compare result %q", c.Result)}
}

// validate returns an error if the operations can't be applied, so that a
// transaction is refused before any of it takes effect.
func (s *store) validate(operations []operation) error {
	if len(operations) > maxOperations {
		return errTooMany
	}
	put := map[string]bool{}
	for _, o := range operations {
		switch {
		case o.Put != nil:
			if err := s.validatePut(o.Put); err != nil {
				return err
			}
			if put[string(o.Put.Key)] {
				return errDuplicateKey
			}
			put[string(o.Put.Key)] = true
		case o.Range != nil && len(o.Range.Key) == 0, o.Delete != nil && len(o.Delete.Key) == 0:
			return errNoKey
		}
	}
	for _, o := range operations {
		if o.Delete == nil {
			continue
		}
		for k := range put {
			if inRange(k, o.Delete.Key, o.Delete.RangeEnd) {
				return errDuplicateKey
			}
		}
	}
	return nil
}

func (s *store) validatePut(p *putRequest) error {
	switch {
	case len(p.Key) == 0:
		return errNoKey
	case len(p.Value) > maxValue:
		return errTooLarge
	case p.Lease != 0 && s.leases[int64(p.Lease)] == nil:
		return errLeaseNotFound
	}
	return nil
}

// transact runs a transaction. All its changes have the same revision.
func (s *store) transact(t txnRequest) (txnResponse, error) {
	if len(t.Compare) > maxOperations {
		return txnResponse{}, errTooMany
	}
	for _, o := range [][]operation{t.Success, t.Failure} {
		if err := s.validate(o); err != nil {
			return txnResponse{}, err
		}
	}
	succeeded := true
	for _, c := range t.Compare {
		ok, err := s.evaluate(c)
		if err != nil {
			return txnResponse{}, err
		}
		succeeded = succeeded && ok
	}
	operations := t.Failure
	if succeeded {
		operations = t.Success
	}
	r := txnResponse{Succeeded: succeeded}
	before := len(s.history)
	revision := s.revision + 1
	for _, o := range operations {
		r.Responses = append(r.Responses, s.apply(revision, o))
	}
	if len(s.history) > before {
		s.commit(revision)
	}
	r.Header = s.header()
	return r, nil
}

func (s *store) apply(revision int64, o operation) operationResponse {
	switch {
	case o.Put != nil:
		s.put(revision, o.Put.Key, o.Put.Value, int64(o.Put.Lease))
		return operationResponse{Put: &putResponse{Header: header{Revision: integer(revision)}}}
	case o.Delete != nil:
		n := s.remove(revision, o.Delete.Key, o.Delete.RangeEnd)
		return operationResponse{Delete: &deleteResponse{
			Header: header{Revision: integer(revision)}, Deleted: integer(n),
		}}
	case o.Range != nil:
		r := s.read(*o.Range)
		return operationResponse{Range: &r}
	}
	return operationResponse{}
}

func (s *store) read(q rangeRequest) rangeResponse {
	found := s.find(q.Key, q.RangeEnd)
	r := rangeResponse{Header: s.header(), Count: integer(len(found))}
	if q.CountOnly {
		return r
	}
	if q.Limit > 0 && int(q.Limit) < len(found) {
		found, r.More = found[:q.Limit], true
	}
	if q.KeysOnly {
		for i := range found {
			found[i].Value = nil
		}
	}
	r.KVs = found
	return r
}
