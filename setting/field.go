package setting

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// setter parses the value of a node, checks it and stores it in the settings.
type setter func(s *Settings, n ast.Node) error

// scalar returns the text of a node that is a single value on one line.
func scalar(n ast.Node) (string, error) {
	switch o := n.(type) {
	case *ast.StringNode:
		return o.Value, nil
	case *ast.LiteralNode:
		return "", errors.New("must be on one line")
	case ast.MapNode, *ast.SequenceNode:
		return "", errors.New("must be a single value")
	case *ast.NullNode:
		return "", errors.New("a value is missing")
	case ast.ScalarNode:
		return o.GetToken().Value, nil
	default:
		return "", fmt.Errorf("a value of type %s is not allowed", n.Type())
	}
}

// value returns the setter of a scalar with the given parser and check.
func value[T any](dest func(*Settings) *T, parse func(string) (T, error), check func(T) error) setter {
	return func(s *Settings, n ast.Node) error {
		t, err := scalar(n)
		if err != nil {
			return err
		}
		v, err := parse(t)
		if err != nil {
			return err
		}
		if err := check(v); err != nil {
			return err
		}
		*dest(s) = v
		return nil
	}
}

func text[T ~string](dest func(*Settings) *T, check func(string) error) setter {
	return value(dest, func(t string) (T, error) { return T(t), nil }, func(v T) error { return check(string(v)) })
}

func list(dest func(*Settings) *[]string, check func(string) error) setter {
	return func(s *Settings, n ast.Node) error {
		sequence, ok := n.(*ast.SequenceNode)
		if !ok {
			return errors.New("must be a list")
		}
		var items []string
		for i, o := range sequence.Values {
			t, err := scalar(o)
			if err == nil {
				err = check(t)
			}
			if err != nil {
				return fmt.Errorf("item %d: %w", i+1, err)
			}
			items = append(items, t)
		}
		*dest(s) = items
		return nil
	}
}

func parseDuration(t string) (time.Duration, error) {
	d, err := time.ParseDuration(t)
	if err != nil {
		return 0, fmt.Errorf("%q is not a duration such as 200ms, 3s or 10m", t)
	}
	return d, nil
}

func duration(dest func(*Settings) *time.Duration, minimum time.Duration) setter {
	return value(dest, parseDuration, func(d time.Duration) error { return atLeast(d, minimum) })
}

// wholeSeconds returns the setter of a duration that is sent to other processes in
// whole seconds.
func wholeSeconds(dest func(*Settings) *time.Duration, minimum time.Duration) setter {
	return value(dest, parseDuration, func(d time.Duration) error {
		if d%time.Second != 0 {
			return fmt.Errorf("%s is not a whole number of seconds", d)
		}
		return atLeast(d, minimum)
	})
}

func atLeast(d, minimum time.Duration) error {
	if d < minimum {
		return fmt.Errorf("%s is below %s", d, minimum)
	}
	return nil
}

func between[T int | int64 | float64](low, high T) func(T) error {
	return func(v T) error {
		if v < low || v > high {
			return fmt.Errorf("%v is not between %v and %v", v, low, high)
		}
		return nil
	}
}

func integer(dest func(*Settings) *int, low, high int) setter {
	parse := func(t string) (int, error) {
		v, err := strconv.Atoi(t)
		if err != nil {
			return 0, fmt.Errorf("%q is not a whole number", t)
		}
		return v, nil
	}
	return value(dest, parse, between(low, high))
}

func number(dest func(*Settings) *float64, low, high float64) setter {
	parse := func(t string) (float64, error) {
		v, err := strconv.ParseFloat(t, 64)
		if err != nil || math.IsNaN(v) {
			return 0, fmt.Errorf("%q is not a number", t)
		}
		return v, nil
	}
	return value(dest, parse, between(low, high))
}

var sizeUnits = map[string]int64{"": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}

func size(dest func(*Settings) *int64, low, high int64) setter {
	parse := func(t string) (int64, error) {
		digits := strings.TrimRight(t, "KMGiB ")
		v, err := strconv.ParseInt(digits, 10, 32)
		unit, ok := sizeUnits[strings.TrimSpace(t[len(digits):])]
		if err != nil || !ok {
			return 0, fmt.Errorf("%q is not a size such as 512KiB or 8MiB", t)
		}
		return v * unit, nil
	}
	return value(dest, parse, between(low, high))
}

func logLevel(dest func(*Settings) *zerolog.Level) setter {
	check := oneOf("debug", "info", "warn", "error")
	parse := func(t string) (zerolog.Level, error) {
		if err := check(t); err != nil {
			return 0, err
		}
		return zerolog.ParseLevel(t)
	}
	return value(dest, parse, func(zerolog.Level) error { return nil })
}
