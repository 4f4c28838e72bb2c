package controlpb

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/vatu-meals/foxlift/internal/golden"
)

// TestDescriptors compares the services, enums and messages of the control API with a golden file, since clients of
// other versions use them.
func TestDescriptors(t *testing.T) {
	var b strings.Builder
	file := File_control_proto
	fmt.Fprintf(&b, "package %s, %s\n", file.Package(), file.Syntax())
	for i := range file.Services().Len() {
		service := file.Services().Get(i)
		fmt.Fprintf(&b, "service %s\n", service.FullName())
		for k := range service.Methods().Len() {
			m := service.Methods().Get(k)
			fmt.Fprintf(&b, "  %s(%s) %s\n", m.Name(), m.Input().FullName(), m.Output().FullName())
		}
	}
	for i := range file.Enums().Len() {
		writeEnum(&b, file.Enums().Get(i))
	}
	for i := range file.Messages().Len() {
		writeMessage(&b, file.Messages().Get(i))
	}
	golden.Check(t, "descriptors.txt", []byte(b.String()))
}

// writeEnum writes the numbers and names of the values of an enum.
func writeEnum(b *strings.Builder, e protoreflect.EnumDescriptor) {
	fmt.Fprintf(b, "enum %s\n", e.FullName())
	for i := range e.Values().Len() {
		v := e.Values().Get(i)
		fmt.Fprintf(b, "  %d %s\n", v.Number(), v.Name())
	}
}

// writeMessage writes the number, names, cardinality and type of each field of a message.
func writeMessage(b *strings.Builder, m protoreflect.MessageDescriptor) {
	fmt.Fprintf(b, "message %s\n", m.FullName())
	for i := range m.Fields().Len() {
		f := m.Fields().Get(i)
		kind := f.Kind().String()
		switch {
		case f.IsMap():
			kind = fmt.Sprintf("map of %s to %s", f.MapKey().Kind(), f.MapValue().Kind())
		case f.Message() != nil:
			kind = string(f.Message().FullName())
		case f.Enum() != nil:
			kind = string(f.Enum().FullName())
		}
		fmt.Fprintf(b, "  %d %s %s %s %s\n", f.Number(), f.Name(), f.JSONName(), f.Cardinality(), kind)
	}
}
