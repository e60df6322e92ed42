// Compiles the JSON library, which is used without its binary.
#include <boost/json/src.hpp>
