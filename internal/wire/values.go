package wire

import (
	"fmt"

	"github.com/valyala/fastjson"
)

// isAbsent reports whether a value is missing or null.
func isAbsent(v *fastjson.Value) bool { return v == nil || v.Type() == fastjson.TypeNull }

// The read functions below return one value of a message. Their errors contain the name of the value.

func readArray(v *fastjson.Value, name string) ([]*fastjson.Value, error) {
	if v == nil || v.Type() != fastjson.TypeArray {
		return nil, fmt.Errorf("%s is not an array", name)
	}
	return v.GetArray(), nil
}

func readString(v *fastjson.Value, name string) ([]byte, error) {
	if v == nil || v.Type() != fastjson.TypeString {
		return nil, fmt.Errorf("%s is not a string", name)
	}
	return v.GetStringBytes(), nil
}

func readInt(v *fastjson.Value, name string) (int64, error) {
	if v != nil && v.Type() == fastjson.TypeNumber {
		if x, err := v.Int64(); err == nil {
			return x, nil
		}
	}
	return 0, fmt.Errorf("%s is not a whole number", name)
}

func readUint(v *fastjson.Value, name string) (uint64, error) {
	if v != nil && v.Type() == fastjson.TypeNumber {
		if x, err := v.Uint64(); err == nil {
			return x, nil
		}
	}
	return 0, fmt.Errorf("%s is not a whole number", name)
}

// readOptionalNumber returns a number, or 0 if it is absent.
func readOptionalNumber(v *fastjson.Value, name string) (float64, error) {
	if isAbsent(v) {
		return 0, nil
	}
	if v.Type() != fastjson.TypeNumber {
		return 0, fmt.Errorf("%s is not a number", name)
	}
	return v.Float64()
}

func readBool(v *fastjson.Value, name string) (bool, error) {
	if v == nil || v.Type() != fastjson.TypeTrue && v.Type() != fastjson.TypeFalse {
		return false, fmt.Errorf("%s is not true or false", name)
	}
	return v.Type() == fastjson.TypeTrue, nil
}
