#include "net/base64.hpp"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/dataflow_exception.hpp>
#include <boost/archive/iterators/transform_width.hpp>

namespace galenastage {

namespace iterators = boost::archive::iterators;

std::string encodeBase64(std::string_view Bytes) {
  using encoder = iterators::base64_from_binary<
      iterators::transform_width<std::string_view::const_iterator, 6, 8>>;
  std::string Text(encoder(Bytes.begin()), encoder(Bytes.end()));
  Text.append((4 - Text.size() % 4) % 4, '=');
  return Text;
}

std::optional<std::string> decodeBase64(std::string_view Text) {
  using decoder = iterators::transform_width<
      iterators::binary_from_base64<std::string_view::const_iterator>, 8, 6>;
  if (Text.size() % 4 != 0)
    return std::nullopt;
  while (!Text.empty() && Text.back() == '=')
    Text.remove_suffix(1);
  // The iterator must not be read past the last whole byte.
  const std::size_t Size = Text.size() * 6 / 8;
  std::string Bytes;
  Bytes.reserve(Size);
  try {
    decoder Next(Text.begin());
    for (std::size_t I = 0; I < Size; ++I, ++Next)
      Bytes.push_back(static_cast<char>(*Next));
  } catch (const iterators::dataflow_exception &) {
    return std::nullopt;
  }
  return Bytes;
}

} // namespace galenastage
