#pragma once

#include <string>

namespace galenastage::test {

/// JSON text with this many arrays or objects within one another.
inline std::string nest(int Depth, const std::string &Open = "[",
                        const std::string &Close = "]") {
  std::string Text;
  for (int I = 0; I < Depth; ++I)
    Text += Open;
  Text += Open == "[" ? "" : "0";
  for (int I = 0; I < Depth; ++I)
    Text += Close;
  return Text;
}

} // namespace galenastage::test
