package coordinator

import (
	"encoding/json"
	"fmt"

	"rattanline.example/rattanline/member"
	"rattanline.example/rattanline/port"
)

// The values in the key-value service are JSON with names in kebab case. They
// contain no epoch, because the revision of the key is the epoch.

type coordinatorRecord struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Domain      string `json:"failure-domain"`
	Address     string `json:"link-address"`
}

type tableRecord struct {
	Domain      string         `json:"failure-domain"`
	Coordinator string         `json:"coordinator"`
	Members     []memberRecord `json:"members"`
}

type memberRecord struct {
	Name        string       `json:"name"`
	Host        string       `json:"host"`
	Incarnation string       `json:"incarnation"`
	LinkAddress string       `json:"link-address"`
	EntryURL    string       `json:"entry-url,omitempty"`
	State       member.State `json:"state"`
	Counted     bool         `json:"counted,omitempty"`
	Joining     bool         `json:"joining,omitempty"`
	Vacant      bool         `json:"vacant,omitempty"`
}

func encodeContact(c Contact) ([]byte, error) {
	value, err := json.Marshal(coordinatorRecord{
		Name: c.Name, Incarnation: c.Incarnation, Domain: c.Domain, Address: c.Address,
	})
	if err != nil {
		return nil, fmt.Errorf("encode coordinator: %w", err)
	}
	return value, nil
}

func decodeContact(e port.Entry) (Contact, error) {
	var r coordinatorRecord
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return Contact{}, fmt.Errorf("decode coordinator: %w", err)
	}
	return Contact{
		Name: r.Name, Incarnation: r.Incarnation, Domain: r.Domain, Address: r.Address,
		Term: member.Epoch{Revision: e.Revision}, Confirmed: true,
	}, nil
}

func encodeTable(t member.Table) ([]byte, error) {
	r := tableRecord{Domain: t.Domain, Coordinator: t.Coordinator}
	for _, m := range t.Members {
		r.Members = append(r.Members, memberRecord{
			Name: m.Name, Host: m.Host, Incarnation: m.Incarnation, LinkAddress: m.LinkAddress,
			EntryURL: m.EntryURL, State: m.State, Counted: m.Counted, Joining: m.Joining, Vacant: m.Vacant,
		})
	}
	value, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode table: %w", err)
	}
	return value, nil
}

func decodeTable(e port.Entry) (member.Table, error) {
	var r tableRecord
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return member.Table{}, fmt.Errorf("decode table: %w", err)
	}
	t := member.Table{Domain: r.Domain, Coordinator: r.Coordinator, Epoch: member.Epoch{Revision: e.Revision}}
	for _, m := range r.Members {
		t = t.With(member.Member{
			Name: m.Name, Host: m.Host, Domain: r.Domain, Incarnation: m.Incarnation, LinkAddress: m.LinkAddress,
			EntryURL: m.EntryURL, State: m.State, Counted: m.Counted, Joining: m.Joining, Vacant: m.Vacant,
		})
	}
	return t, nil
}
