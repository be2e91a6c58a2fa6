package gateway

import (
	"bytes"
	"strconv"
)

// endOfHead ends the head of a request: its request line and header.
var endOfHead = []byte("\r\n\r\n")

// HeaderValue returns the value of the first header field with the name in the head of
// a request, nil if there is none. Unlike net/http it parses nothing else.
func HeaderValue(head []byte, name string) []byte {
	for len(head) > 0 {
		var line []byte
		line, head, _ = bytes.Cut(head, []byte("\n"))
		field, value, ok := bytes.Cut(line, []byte(":"))
		if ok && len(field) == len(name) && bytes.EqualFold(field, []byte(name)) {
			return bytes.TrimSpace(value)
		}
	}
	return nil
}

// wholeRequest returns the head of the request if data is exactly one request with its
// whole body. It may return false for such a request, which costs only time.
func wholeRequest(data []byte) (head []byte, ok bool) {
	end := bytes.Index(data, endOfHead)
	if end < 0 {
		return nil, false
	}
	head, body := data[:end], data[end+len(endOfHead):]
	if HeaderValue(head, "Transfer-Encoding") != nil {
		return head, bytes.Equal(body, []byte("0\r\n\r\n")) || bytes.HasSuffix(body, []byte("\r\n0\r\n\r\n"))
	}
	length := 0
	if v := HeaderValue(head, "Content-Length"); v != nil {
		var err error
		if length, err = strconv.Atoi(string(v)); err != nil {
			return nil, false
		}
	}
	return head, len(body) == length
}
