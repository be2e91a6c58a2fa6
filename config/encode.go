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

// MaxValueBytes is the largest value that the platform's key-value service takes.
const MaxValueBytes = 1_000_000

// MaxStoredBytes bounds the stored document. The difference to MaxValueBytes is for the
// envelope with its history of submits.
const MaxStoredBytes = MaxValueBytes - 32<<10

// maxDecoded bounds the memory that a damaged or hostile value can take.
const maxDecoded = 16 << 20

// writers keeps compressors, each of which takes about 800 KB, for reuse.
var writers = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// Encode writes a document, or a value that holds one, in the stored form:
// compressed JSON. Uncompressed, the document of the largest planned fleet
// would exceed MaxValueBytes.
func Encode(v any) ([]byte, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	var b bytes.Buffer
	z := writers.Get().(*gzip.Writer)
	defer writers.Put(z)
	z.Reset(&b)
	if _, err := z.Write(text); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if err := z.Close(); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	return b.Bytes(), nil
}

// Decode reads what Encode wrote into the value that v points to.
func Decode(data []byte, v any) error {
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("decompress: %w", err)
	}
	text, err := io.ReadAll(io.LimitReader(z, maxDecoded+1))
	if err != nil {
		return fmt.Errorf("decompress: %w", err)
	}
	if len(text) > maxDecoded {
		return errors.New("decompress: the value is too large")
	}
	if err := json.Unmarshal(text, v); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	return nil
}

// Marshal writes the document as YAML.
func (d Document) Marshal() ([]byte, error) {
	data, err := yaml.MarshalWithOptions(d, yaml.IndentSequence(true))
	if err != nil {
		return nil, fmt.Errorf("marshal document: %w", err)
	}
	return data, nil
}
