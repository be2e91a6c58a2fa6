package usage

// clock is the logical clock that numbers the changes of all maps of one writer.
type clock struct{ version uint64 }

// versioned is a map that records the version of the last change of each entry, so
// that only entries that a peer lacks are sent to it.
type versioned[K comparable, V comparable] struct {
	clock   *clock
	values  map[K]V
	changed map[K]uint64
}

func newVersioned[K comparable, V comparable](c *clock) *versioned[K, V] {
	return &versioned[K, V]{clock: c, values: map[K]V{}, changed: map[K]uint64{}}
}

// set stores the value and advances the version if the value changed.
func (v *versioned[K, V]) set(key K, value V) {
	if old, ok := v.values[key]; ok && old == value {
		return
	}
	v.clock.version++
	v.values[key] = value
	v.changed[key] = v.clock.version
}

// touch marks the entry as changed without changing its value.
func (v *versioned[K, V]) touch(key K) {
	v.clock.version++
	v.changed[key] = v.clock.version
}

func (v *versioned[K, V]) get(key K) V { return v.values[key] }

// since calls visit for each entry that changed after the version.
func (v *versioned[K, V]) since(version uint64, visit func(K, V)) {
	if version >= v.clock.version {
		return
	}
	for k, c := range v.changed {
		if c > version {
			visit(k, v.values[k])
		}
	}
}
