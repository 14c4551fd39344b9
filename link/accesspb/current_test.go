package accesspb_test

import (
	"context"
	"testing"

	"github.com/bufbuild/protocompile"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"

	"github.com/bronzeloft/bronzeloft/link/accesspb"
)

func TestAccesspb(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "accesspb")
}

var _ = Describe("the generated code", func() {
	It("matches access.proto", func() {
		c := protocompile.Compiler{Resolver: &protocompile.SourceResolver{}}
		files, err := c.Compile(context.Background(), "access.proto")
		Expect(err).NotTo(HaveOccurred())
		want := protodesc.ToFileDescriptorProto(files[0])
		got := protodesc.ToFileDescriptorProto(accesspb.File_access_proto)
		Expect(proto.Equal(got, want)).To(BeTrue(), "run go generate ./link/accesspb")
	})
})
