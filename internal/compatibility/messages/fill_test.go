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

// maxDepth ends the filling of a type that contains itself.
const maxDepth = 16

// elementsPerList is the length of each list and map that is filled.
const elementsPerList = 2

// firstTime is the time from which filled times count.
var firstTime = time.Date(2026, time.March, 1, 6, 30, 0, 0, time.UTC)

// filled returns a value of the type in which every exported field is set to
// something that depends only on the names and numbers on the wire that lead to
// it.
func filled[T any](t *testing.T, root string) T {
	t.Helper()
	var value T
	if err := fill(reflect.ValueOf(&value).Elem(), root, 0); err != nil {
		t.Fatal(err)
	}
	return value
}

// skeleton returns a value of the type in which every list has one element and
// every pointer is set, and all else is empty: it shows what is left out where
// it is empty.
func skeleton[T any]() T {
	var value T
	extend(reflect.ValueOf(&value).Elem(), 0)
	return value
}

// extend gives a value of a skeleton its lists and pointers.
func extend(value reflect.Value, depth int) {
	if depth > maxDepth || value.Type() == reflect.TypeFor[time.Time]() {
		return
	}
	switch value.Kind() {
	case reflect.Struct:
		for index := range value.NumField() {
			if value.Field(index).CanSet() {
				extend(value.Field(index), depth+1)
			}
		}
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		extend(value.Elem(), depth+1)
	case reflect.Slice:
		if value.Type().Elem().Kind() != reflect.Uint8 {
			value.Set(reflect.MakeSlice(value.Type(), 1, 1))
			extend(value.Index(0), depth+1)
		}
	}
}

// fill sets one value, which stands at path.
func fill(value reflect.Value, path string, depth int) error {
	if depth > maxDepth {
		return nil
	}
	if set := fillKnown(value, path); set {
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

// fillKnown sets the types whose content must have a form of its own.
func fillKnown(value reflect.Value, path string) bool {
	number := numberOf(path)
	switch value.Interface().(type) {
	case time.Time:
		value.Set(reflect.ValueOf(firstTime.Add(time.Duration(number) * time.Millisecond)))
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

// wireName is the name or number of a field on the wire. A field that would
// travel under its Go name is an error: renaming it would change the message.
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
		at := path + "/" + strconv.Itoa(index)
		if err := fill(key, at+"/key", depth+1); err != nil {
			return err
		}
		if err := fill(element, at+"/value", depth+1); err != nil {
			return err
		}
		entries.SetMapIndex(key, element)
	}
	value.Set(entries)
	return nil
}

func fillScalar(value reflect.Value, path string) error {
	number := numberOf(path)
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

// numberOf is a number from 1 to a million that depends on the path alone.
func numberOf(path string) uint32 {
	hash := fnv.New32a()
	hash.Write([]byte(path))
	return hash.Sum32()%1_000_000 + 1
}
