package memory

import (
	"io"

	"github.com/pkg/errors"
)

// ErrTooLong is the error of a source with more bytes than a Buffer may hold.
var ErrTooLong = errors.New("too many bytes")

// firstBytes is the first capacity of a buffer for a source of unknown length.
const firstBytes = 4 << 10

// Buffer holds bytes whose memory is reserved, spare capacity included. It is not safe for
// concurrent use.
type Buffer struct {
	reservation Reservation
	data        []byte
}

// Buffer returns an empty buffer that reserves its memory from the budget.
func (b *Budget) Buffer() Buffer { return Buffer{reservation: b.Reservation()} }

// Bytes returns the bytes read so far. They are valid until Release.
func (b *Buffer) Bytes() []byte { return b.data }

// Release drops the bytes and returns their memory to the budget.
func (b *Buffer) Release() {
	b.data = nil
	b.reservation.Release()
}

// ReadAll reads the source into the empty buffer. Memory for a known length is reserved at once. For
// an unknown length, which is negative, the reservation grows before more is read. The error is
// ErrExhausted if the budget lacks the memory, ErrTooLong if the source has more than limit bytes.
func (b *Buffer) ReadAll(source io.Reader, length, limit int64) error {
	if length > limit {
		return ErrTooLong
	}
	if length >= 0 {
		return b.readKnown(source, length)
	}
	for {
		if err := b.extend(limit); err != nil {
			return err
		}
		n, err := source.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		switch {
		case int64(len(b.data)) > limit:
			return ErrTooLong
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

func (b *Buffer) readKnown(source io.Reader, length int64) error {
	if length == 0 {
		return nil
	}
	if err := b.reservation.Grow(length); err != nil {
		return err
	}
	b.data = make([]byte, 0, length)
	n, err := io.ReadFull(source, b.data[:length])
	b.data = b.data[:n]
	return err
}

// extend doubles the capacity of a full buffer, up to one byte above the limit, by which a source
// that is too long is detected. Old and new memory are reserved while the bytes are copied.
func (b *Buffer) extend(limit int64) error {
	size := int64(cap(b.data))
	if int64(len(b.data)) < size {
		return nil
	}
	larger := min(max(2*size, firstBytes), limit+1)
	if err := b.reservation.Grow(larger); err != nil {
		return err
	}
	data := make([]byte, len(b.data), larger)
	copy(data, b.data)
	b.data = data
	b.reservation.Shrink(size)
	return nil
}
