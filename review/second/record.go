package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, with the time since its start.
type record struct {
	mu     sync.Mutex
	file   *os.File
	writer *bufio.Writer
	began  time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &record{file: file, writer: bufio.NewWriter(file), began: time.Now()}, nil
}

func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.writer != nil {
		_, _ = fmt.Fprintf(r.writer, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
	}
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.writer == nil {
		return
	}
	_ = r.writer.Flush()
	_ = r.file.Close()
	r.writer = nil // what is added later is dropped
}
