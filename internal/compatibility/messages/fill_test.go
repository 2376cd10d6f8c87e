package messages

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"
)

// maxDepth bounds the nesting of values, for types that contain themselves.
const maxDepth = 16

// elementsPerList is the length of each list and map in a filled value.
const elementsPerList = 2

// baseTime is the earliest filled time; hashPath gives the milliseconds to add.
var baseTime = time.Date(2026, time.March, 1, 6, 30, 0, 0, time.UTC)

// filled returns a T in which every encoded field is set. The value of a field depends
// only on root and on the path of names or numbers on the wire that leads to it.
func filled[T any](t *testing.T, root string) T {
	t.Helper()
	var value T
	if err := fill(reflect.ValueOf(&value).Elem(), root, 0); err != nil {
		t.Fatal(err)
	}
	return value
}

// skeleton returns a T in which every list has one element, every pointer is set, and
// all else is empty. Its encoding shows which fields are omitted when empty.
func skeleton[T any]() T {
	var value T
	setListsAndPointers(reflect.ValueOf(&value).Elem(), 0)
	return value
}

// setListsAndPointers sets the lists and pointers within a value, see skeleton. Byte
// slices stay empty.
func setListsAndPointers(value reflect.Value, depth int) {
	if depth > maxDepth || value.Type() == reflect.TypeFor[time.Time]() {
		return
	}
	switch value.Kind() {
	case reflect.Struct:
		for index := range value.NumField() {
			if value.Field(index).CanSet() {
				setListsAndPointers(value.Field(index), depth+1)
			}
		}
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		setListsAndPointers(value.Elem(), depth+1)
	case reflect.Slice:
		if value.Type().Elem().Kind() != reflect.Uint8 {
			value.Set(reflect.MakeSlice(value.Type(), 1, 1))
			setListsAndPointers(value.Index(0), depth+1)
		}
	}
}

// fill sets the value at path and all values within it. It leaves a value deeper than
// maxDepth empty, and returns an error for a type that it cannot fill.
func fill(value reflect.Value, path string, depth int) error {
	if depth > maxDepth {
		return nil
	}
	if set := fillSpecial(value, path); set {
		return nil
	}
	switch value.Kind() {
	case reflect.Struct:
		return fillStruct(value, path, depth)
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		return fill(value.Elem(), path, depth+1)
	case reflect.Slice:
		return fillSlice(value, path, depth)
	case reflect.Map:
		return fillMap(value, path, depth)
	default:
		return fillScalar(value, path)
	}
}

// fillSpecial sets a time, a raw JSON message or a byte slice, which need a valid
// content or a compact form. It returns false for other types.
func fillSpecial(value reflect.Value, path string) bool {
	number := hashPath(path)
	switch value.Interface().(type) {
	case time.Time:
		value.Set(reflect.ValueOf(baseTime.Add(time.Duration(number) * time.Millisecond)))
	case json.RawMessage:
		value.Set(reflect.ValueOf(json.RawMessage(fmt.Sprintf(`{"n":%d}`, number))))
	case []byte:
		value.Set(reflect.ValueOf([]byte{byte(number), byte(number >> 8), byte(number >> 16)}))
	default:
		return false
	}
	return true
}

func fillStruct(value reflect.Value, path string, depth int) error {
	for index := range value.NumField() {
		field := value.Type().Field(index)
		name, encoded, err := wireName(field)
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		if !encoded {
			continue
		}
		if err := fill(value.Field(index), path+"/"+name, depth+1); err != nil {
			return err
		}
	}
	return nil
}

// wireName returns the name or number of a field on the wire, from its cbor tag or
// else its json tag. encoded is false for a field that is not sent. A field without a
// name in a tag is an error: it would be encoded under its Go name, so that renaming
// it would change the message.
func wireName(field reflect.StructField) (name string, encoded bool, err error) {
	if field.Anonymous {
		return "", true, nil
	}
	if !field.IsExported() {
		return "", false, nil
	}
	tag, tagged := field.Tag.Lookup("cbor")
	if !tagged {
		tag, tagged = field.Tag.Lookup("json")
	}
	name, _, _ = strings.Cut(tag, ",")
	if !tagged || name == "" {
		return "", false, fmt.Errorf("field %s has neither a cbor nor a json name", field.Name)
	}
	return name, name != "-", nil
}

func fillSlice(value reflect.Value, path string, depth int) error {
	list := reflect.MakeSlice(value.Type(), elementsPerList, elementsPerList)
	for index := range elementsPerList {
		if err := fill(list.Index(index), path+"/"+strconv.Itoa(index), depth+1); err != nil {
			return err
		}
	}
	value.Set(list)
	return nil
}

func fillMap(value reflect.Value, path string, depth int) error {
	entries := reflect.MakeMap(value.Type())
	for index := range elementsPerList {
		key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		elementPath := path + "/" + strconv.Itoa(index)
		if err := fill(key, elementPath+"/key", depth+1); err != nil {
			return err
		}
		if err := fill(element, elementPath+"/value", depth+1); err != nil {
			return err
		}
		entries.SetMapIndex(key, element)
	}
	value.Set(entries)
	return nil
}

func fillScalar(value reflect.Value, path string) error {
	number := hashPath(path)
	switch value.Kind() {
	case reflect.String:
		value.SetString("v" + strconv.FormatUint(uint64(number), 36))
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int32, reflect.Int64:
		value.SetInt(int64(number))
	case reflect.Uint8:
		value.SetUint(uint64(number%200 + 1))
	case reflect.Uint, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(number))
	case reflect.Float64:
		value.SetFloat(float64(number) / 8)
	default:
		return fmt.Errorf("%s: no value for the type %s", path, value.Type())
	}
	return nil
}

// hashPath returns a number from 1 to a million that depends only on path.
func hashPath(path string) uint32 {
	hash := fnv.New32a()
	hash.Write([]byte(path))
	return hash.Sum32()%1_000_000 + 1
}
