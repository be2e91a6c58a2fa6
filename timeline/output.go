package timeline

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// timeFormat has a fixed width, so that the lines align.
const timeFormat = "2006-01-02T15:04:05.000000Z"

// WriteText writes the events as readable text, one line for each event.
func WriteText(w io.Writer, events []Event) error {
	b := bufio.NewWriter(w)
	for _, e := range events {
		fmt.Fprintf(b, "%s %-12s %-24s", e.Time.UTC().Format(timeFormat), e.Daemon, e.Kind)
		for _, o := range []struct{ name, value string }{
			{"request", e.Request}, {"account", e.Account}, {"target", e.Target}, {"detail", e.Detail},
		} {
			if o.value != "" {
				fmt.Fprintf(b, " %s=%q", o.name, o.value)
			}
		}
		fmt.Fprintln(b)
	}
	if err := b.Flush(); err != nil {
		return fmt.Errorf("write events: %w", err)
	}
	return nil
}

// WriteJSON writes the events as JSON, one object per line.
func WriteJSON(w io.Writer, events []Event) error {
	b := bufio.NewWriter(w)
	encoder := json.NewEncoder(b)
	for _, e := range events {
		if err := encoder.Encode(e); err != nil {
			return fmt.Errorf("write events: %w", err)
		}
	}
	if err := b.Flush(); err != nil {
		return fmt.Errorf("write events: %w", err)
	}
	return nil
}

// ReadJSON reads events in the format of WriteJSON.
func ReadJSON(r io.Reader) ([]Event, error) {
	var events []Event
	decoder := json.NewDecoder(r)
	for {
		var e Event
		err := decoder.Decode(&e)
		if errors.Is(err, io.EOF) {
			return events, nil
		}
		if err != nil {
			return nil, fmt.Errorf("read events: %w", err)
		}
		events = append(events, e)
	}
}
