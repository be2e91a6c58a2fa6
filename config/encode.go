package config

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

// MaxValueBytes is the size of the largest value that the platform's key-value
// service accepts.
const MaxValueBytes = 1_000_000

// MaxStoredBytes bounds the encoded document. The difference from MaxValueBytes
// is reserved for the envelope with its history of submits.
const MaxStoredBytes = MaxValueBytes - 32<<10

// maxDecodedBytes bounds the memory used to decode a damaged or hostile value.
const maxDecodedBytes = 16 << 20

// gzipWriters pools compressors, because each takes about 800 KB.
var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// Encode encodes a document, or a value that contains one, in the stored form:
// JSON compressed with gzip. Uncompressed, the document of the largest planned
// fleet would exceed MaxValueBytes.
func Encode(v any) ([]byte, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	var b bytes.Buffer
	z := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(z)
	z.Reset(&b)
	if _, err := z.Write(text); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if err := z.Close(); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	return b.Bytes(), nil
}

// Decode decodes the output of Encode into the value that v points to.
func Decode(data []byte, v any) error {
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("decompress: %w", err)
	}
	text, err := io.ReadAll(io.LimitReader(z, maxDecodedBytes+1))
	if err != nil {
		return fmt.Errorf("decompress: %w", err)
	}
	if len(text) > maxDecodedBytes {
		return errors.New("decompress: the value is too large")
	}
	if err := json.Unmarshal(text, v); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	return nil
}

// Marshal returns the document as YAML.
func (d Document) Marshal() ([]byte, error) {
	data, err := yaml.MarshalWithOptions(d, yaml.IndentSequence(true))
	if err != nil {
		return nil, fmt.Errorf("marshal document: %w", err)
	}
	return data, nil
}
